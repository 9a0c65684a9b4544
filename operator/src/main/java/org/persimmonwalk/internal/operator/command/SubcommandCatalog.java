package org.persimmonwalk.internal.operator.command;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Lists the subcommands with their names, summaries and examples. */
public final class SubcommandCatalog {
  private static final List<Entry> ENTRIES =
      List.of(
          new Entry(
              "apply",
              ApplyCommand::new,
              "submits a release note",
              "apply note.yaml --platform http://10.0.0.5:8080 --hosts @hosts --wait"),
          new Entry(
              "check",
              CheckCommand::new,
              "checks a release note and submits nothing",
              "check note.yaml --platform http://10.0.0.5:8080"),
          new Entry(
              "diff",
              DiffCommand::new,
              "prints what a release note would change",
              "diff note.yaml --platform http://10.0.0.5:8080"),
          new Entry(
              "history",
              HistoryCommand::new,
              "prints the newest revisions and their release notes",
              "history --limit 5 --platform http://10.0.0.5:8080"),
          new Entry(
              "revisions",
              RevisionsCommand::new,
              "prints the revision that each host has in force",
              "revisions --hosts 10.0.0.1:8432,10.0.0.2:8432 --token-file token"),
          new Entry(
              "state",
              StateCommand::new,
              "prints the state that the hosts report",
              "state servers --hosts @hosts --token-file token --output json"),
          new Entry(
              "drain",
              DrainCommand::new,
              "starts the planned stop of a host",
              "drain host-a1 --hosts @hosts --token-file token"),
          new Entry(
              "explain",
              ExplainCommand::new,
              "prints the log lines that explain a failed request",
              "explain 5c0e7a21d94b36f8 host-a1.log host-a2.log"),
          new Entry(
              "key mint",
              KeyMintCommand::new,
              "generates a caller key and prints it once",
              "key mint oil --platform http://10.0.0.5:8080"),
          new Entry(
              "key withdraw",
              KeyWithdrawCommand::new,
              "withdraws a caller key",
              "key withdraw 5e8848da --platform http://10.0.0.5:8080 --hosts @hosts --wait"));

  private SubcommandCatalog() {}

  /**
   * A subcommand.
   *
   * @param name the name, one or two words
   * @param factory creates an instance whose options are not set yet
   * @param summary one line for the help
   * @param example a command line for the help, without the name of the program
   */
  public record Entry(String name, Supplier<Subcommand> factory, String summary, String example) {

    /** Returns the arguments that follow the name. */
    public List<String> argumentsAfterName(List<String> arguments) {
      return arguments.subList(words().size(), arguments.size());
    }

    private List<String> words() {
      return Arrays.asList(name.split(" "));
    }
  }

  /** Returns all subcommands. */
  public static List<Entry> entries() {
    return ENTRIES;
  }

  /** Returns the subcommand whose name the arguments begin with; empty if there is none. */
  public static Optional<Entry> find(List<String> arguments) {
    return ENTRIES.stream()
        .filter(entry -> arguments.size() >= entry.words().size())
        .filter(entry -> arguments.subList(0, entry.words().size()).equals(entry.words()))
        .findFirst();
  }
}

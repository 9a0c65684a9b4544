package org.persimmonwalk.operator;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.ClassParser;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.persimmonwalk.internal.operator.command.CommonOptions;
import org.persimmonwalk.internal.operator.command.OperatorEnvironment;
import org.persimmonwalk.internal.operator.command.OperatorSession;
import org.persimmonwalk.internal.operator.command.StandardEnvironment;
import org.persimmonwalk.internal.operator.command.Subcommand;
import org.persimmonwalk.internal.operator.command.SubcommandCatalog;
import org.persimmonwalk.internal.operator.output.JsonOutput;
import org.persimmonwalk.internal.operator.output.Output;
import org.persimmonwalk.internal.operator.output.TextOutput;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/**
 * The operators' command line: finds the subcommand, parses its options, runs it, and turns
 * failures into messages and exit codes.
 *
 * <p>Example:
 *
 * <pre>{@code
 * int exitCode =
 *     OperatorCommandLine.create(System.out, System.err).run(List.of("check", "note.yaml"));
 * }</pre>
 */
public final class OperatorCommandLine {
  private static final int SUCCESS = 0;
  private static final int FAILURE = 1;
  private static final int INVALID_COMMAND_LINE = 2;
  private static final List<String> HELP_ARGUMENTS = List.of("help", "--help", "-h");

  private final OperatorEnvironment environment;
  private final PrintStream out;
  private final PrintStream err;

  private OperatorCommandLine(OperatorEnvironment environment, PrintStream out, PrintStream err) {
    this.environment = environment;
    this.out = out;
    this.err = err;
  }

  /** Returns a command line that reaches the platform and the hosts over HTTP. */
  public static OperatorCommandLine create(PrintStream out, PrintStream err) {
    return of(StandardEnvironment.create(), out, err);
  }

  static OperatorCommandLine of(OperatorEnvironment environment, PrintStream out, PrintStream err) {
    return new OperatorCommandLine(environment, out, err);
  }

  /**
   * Runs the subcommand that the arguments name; the first one or two are its name.
   *
   * @return the exit code: 0 on success, 2 if the command line is invalid or a token file, host
   *     list or log file that it names cannot be used, 1 for all other failures
   */
  public int run(List<String> arguments) {
    if (!arguments.isEmpty() && HELP_ARGUMENTS.contains(arguments.get(0))) {
      printHelp(out);
      return SUCCESS;
    }
    Optional<SubcommandCatalog.Entry> entry = SubcommandCatalog.find(arguments);
    if (entry.isEmpty()) {
      String problem =
          arguments.isEmpty()
              ? "no command is given"
              : "unknown or incomplete command '" + arguments.get(0) + "'";
      return fail(
          TextOutput.of(out, err),
          PersimmonwalkException.of(
              ResultCode.COMMAND_LINE_INVALID, problem + "; 'operator help' lists the commands"));
    }
    return run(entry.get(), entry.get().argumentsAfterName(arguments));
  }

  private int run(SubcommandCatalog.Entry entry, List<String> arguments) {
    Subcommand command = entry.factory().get();
    CommonOptions options = new CommonOptions();
    CmdLineParser parser = parser(command, options);
    Output output = TextOutput.of(out, err);
    try {
      parser.parseArgument(arguments);
      if (options.isHelp()) {
        printHelp(entry);
        return SUCCESS;
      }
      if (options.output() == CommonOptions.OutputFormat.JSON) {
        output = JsonOutput.of(out, err);
      }
      options.check();
      try (OperatorSession session = OperatorSession.of(options, environment, output)) {
        command.run(session);
      }
      return SUCCESS;
    } catch (CmdLineException e) {
      String message = entry.name() + ": " + e.getMessage() + "; see '" + entry.name() + " --help'";
      return fail(output, PersimmonwalkException.of(ResultCode.COMMAND_LINE_INVALID, message));
    } catch (PersimmonwalkException e) {
      return fail(output, e);
    } catch (RuntimeException e) {
      return fail(
          output,
          PersimmonwalkException.of(
              ResultCode.INTERNAL_ERROR, "an internal error occurred: " + e + "; report it", e));
    }
  }

  private static CmdLineParser parser(Subcommand command, CommonOptions options) {
    CmdLineParser parser = new CmdLineParser(command);
    new ClassParser().parse(options, parser);
    return parser;
  }

  private static int fail(Output output, PersimmonwalkException failure) {
    output.failure(failure);
    return switch (failure.code()) {
      case COMMAND_LINE_INVALID,
          SETTING_UNREADABLE,
          SETTING_UNKNOWN,
          SETTING_INVALID,
          SETTING_MISSING ->
          INVALID_COMMAND_LINE;
      default -> FAILURE;
    };
  }

  private static void printHelp(PrintStream out) {
    out.println("Usage: operator COMMAND [ARGUMENTS] [OPTIONS]");
    out.println();
    for (SubcommandCatalog.Entry entry : SubcommandCatalog.entries()) {
      out.printf("  %-14s %s%n", entry.name(), entry.summary());
    }
    out.println();
    out.println("Examples:");
    SubcommandCatalog.entries().forEach(entry -> out.println("  operator " + entry.example()));
    out.println();
    out.println("'operator COMMAND --help' prints the options of a command.");
    out.println("Exit code: 0 on success, 2 for an invalid command line, 1 otherwise.");
  }

  private void printHelp(SubcommandCatalog.Entry entry) {
    out.println("operator " + entry.name() + ": " + entry.summary());
    out.println();
    parser(entry.factory().get(), new CommonOptions()).printUsage(out);
    out.println();
    out.println("Example: operator " + entry.example());
  }
}

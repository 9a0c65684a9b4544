package org.persimmonwalk.internal.operator.command;

import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.persimmonwalk.internal.operator.output.Table;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/** Prints the newest revisions with the release notes that led to them. */
final class HistoryCommand implements Subcommand {
  private static final int LARGEST_LIMIT = 1_000;

  @Option(name = "--limit", metaVar = "N", usage = "how many revisions to print")
  private int limit = 20;

  @Override
  public void run(OperatorSession session) {
    if (limit < 1 || limit > LARGEST_LIMIT) {
      throw PersimmonwalkException.of(
          ResultCode.COMMAND_LINE_INVALID,
          "--limit must be from 1 to " + LARGEST_LIMIT + ", not " + limit);
    }
    List<Configuration> configurations = new ArrayList<>();
    session.configurations().walk(limit, configurations::add);
    Table table = Table.of("revision", "note", "workspaces", "keys", "groups");
    for (Configuration configuration : configurations) {
      table =
          table.withRow(
              configuration.revision().number(),
              configuration.note().value(),
              configuration.workspaces().size(),
              configuration.keys().size(),
              configuration.groups().size());
    }
    session.output().table(table);
  }
}

package org.persimmonwalk.internal.operator.command;

import org.kohsuke.args4j.Argument;
import org.persimmonwalk.internal.operator.fleet.FleetView;

/** Prints a summary of the state that the hosts of {@code --hosts} report. */
final class StateCommand implements Subcommand {
  @Argument(
      metaVar = "hosts|groups|servers|workspaces",
      required = true,
      usage = "what to print the state of")
  private Subject subject;

  /** The subject of the table; the names are the values of the argument. */
  enum Subject {
    HOSTS(StateTables::hosts),
    GROUPS(StateTables::groups),
    SERVERS(StateTables::servers),
    WORKSPACES(StateTables::workspaces);

    private final StateTable table;

    Subject(StateTable table) {
      this.table = table;
    }
  }

  @Override
  public void run(OperatorSession session) {
    FleetView view = session.pollHosts();
    session.output().table(subject.table.of(view));
    session.requireAllReported(view);
  }
}

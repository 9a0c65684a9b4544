package org.persimmonwalk.internal.operator.command;

import java.util.Map;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.internal.operator.fleet.FleetView;
import org.persimmonwalk.internal.operator.fleet.HostPollResult;
import org.persimmonwalk.internal.operator.fleet.HostReport;
import org.persimmonwalk.internal.operator.output.Table;
import org.persimmonwalk.model.SocketEndpoint;

/**
 * Prints the revision that each host has in force and whether it is the newest: that of the
 * platform or, without {@code --platform}, the newest that any host reports.
 */
final class RevisionsCommand implements Subcommand {

  @Override
  public void run(OperatorSession session) {
    FleetView view = session.pollHosts();
    Revision newest =
        session.options().hasPlatform()
            ? session.configurations().current().revision()
            : view.reports().stream()
                .map(HostReport::revision)
                .max(Revision::compareTo)
                .orElse(Revision.NONE);
    Table table = Table.of("endpoint", "host", "zone", "revision", "newest");
    for (Map.Entry<SocketEndpoint, HostPollResult> entry : view.results().entrySet()) {
      String endpoint = entry.getKey().toString();
      if (entry.getValue() instanceof HostPollResult.Reported reported) {
        HostReport report = reported.report();
        table =
            table.withRow(
                endpoint,
                report.host().value(),
                report.zone().value(),
                report.revision().number(),
                !newest.isNewerThan(report.revision()));
      } else {
        table = table.withRow(endpoint, null, null, null, null);
      }
    }
    session.output().table(table);
    session.requireAllReported(view);
  }
}

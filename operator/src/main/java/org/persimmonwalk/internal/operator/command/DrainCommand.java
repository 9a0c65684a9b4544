package org.persimmonwalk.internal.operator.command;

import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.persimmonwalk.internal.operator.fleet.FleetView;
import org.persimmonwalk.internal.operator.fleet.HostPollResult;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/** Starts the planned stop of one entry host and does not wait for its end. */
final class DrainCommand implements Subcommand {
  @Argument(metaVar = "HOST", required = true, usage = "the id of the entry host")
  private String host;

  @Override
  public void run(OperatorSession session) {
    FleetView view = session.pollHosts();
    List<SocketEndpoint> endpoints =
        view.results().entrySet().stream()
            .filter(entry -> isNamed(entry.getValue()))
            .map(Map.Entry::getKey)
            .toList();
    if (endpoints.size() > 1) {
      throw PersimmonwalkException.of(
          ResultCode.COMMAND_LINE_INVALID,
          "the endpoints " + endpoints + " all belong to host " + host + "; list only one");
    }
    if (endpoints.isEmpty()) {
      session.requireAllReported(view);
      throw PersimmonwalkException.of(
          ResultCode.NOT_FOUND,
          "no endpoint of --hosts belongs to host " + host + "; check the id and the list");
    }
    Stages.await(session.hosts().drain(endpoints.get(0)));
    session
        .output()
        .result(
            Results.of("host", host, "endpoint", endpoints.get(0).toString(), "drain", "asked"));
  }

  private boolean isNamed(HostPollResult result) {
    return result instanceof HostPollResult.Reported reported
        && reported.report().host().value().equals(host);
  }
}

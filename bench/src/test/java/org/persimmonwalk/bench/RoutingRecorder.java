package org.persimmonwalk.bench;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.persimmonwalk.entryhost.TrafficListener;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.routing.RoutingDecision;

/** Records routing decisions and refusals for tests. */
public final class RoutingRecorder implements TrafficListener {
  private final List<String> decisions = new CopyOnWriteArrayList<>();

  /** Returns the decisions recorded since the last call, and clears them. */
  public List<String> drain() {
    List<String> drained = List.copyOf(decisions);
    decisions.clear();
    return drained;
  }

  @Override
  public void routed(StatementRequest request, RoutingDecision.Execute decision) {
    decisions.add(request.kind() + " " + decision.server().id() + " " + decision.reason());
  }

  @Override
  public void refused(StatementRequest request, ResultCode code) {
    decisions.add(request.kind() + " refused " + code.label());
  }
}

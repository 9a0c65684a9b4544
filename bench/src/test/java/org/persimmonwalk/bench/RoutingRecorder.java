package org.persimmonwalk.bench;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.persimmonwalk.entryhost.TrafficListener;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.routing.RoutingDecision;

/** Keeps the routing decisions for tests to read. */
public final class RoutingRecorder implements TrafficListener {
  private final List<String> decisions = new CopyOnWriteArrayList<>();

  /** Returns the decisions since the last call, and forgets them. */
  public List<String> take() {
    List<String> taken = List.copyOf(decisions);
    decisions.clear();
    return taken;
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

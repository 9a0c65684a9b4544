package org.persimmonwalk.internal.telemetry;

import java.time.Duration;
import java.util.List;
import org.persimmonwalk.entryhost.TrafficListener;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.routing.RoutingDecision;

/** Passes each call to several listeners, in order. */
public final class TrafficListeners implements TrafficListener {
  private final List<TrafficListener> listeners;

  private TrafficListeners(List<TrafficListener> listeners) {
    this.listeners = listeners;
  }

  /** Returns a listener that passes each call to all given listeners. */
  public static TrafficListeners of(TrafficListener... listeners) {
    return new TrafficListeners(List.of(listeners));
  }

  @Override
  public void routed(StatementRequest request, RoutingDecision.Execute decision) {
    listeners.forEach(listener -> listener.routed(request, decision));
  }

  @Override
  public void refused(StatementRequest request, ResultCode code) {
    listeners.forEach(listener -> listener.refused(request, code));
  }

  @Override
  public void finished(StatementRequest request, StatementState state, Duration elapsed) {
    listeners.forEach(listener -> listener.finished(request, state, elapsed));
  }
}

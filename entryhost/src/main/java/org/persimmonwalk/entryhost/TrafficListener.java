package org.persimmonwalk.entryhost;

import java.time.Duration;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.routing.RoutingDecision;

/**
 * Receives the routing, the refusal and the end of statements. It is called on the traffic threads,
 * which wait for it, so it must return quickly.
 *
 * <p>Example:
 *
 * <pre>{@code
 * EntryHost host = EntryHost.start(settings, policies, RoutingPrinter.of(System.out));
 * }</pre>
 */
public interface TrafficListener {

  /** Called when a statement is sent to a backend server. */
  default void routed(StatementRequest request, RoutingDecision.Execute decision) {}

  /** Called when a statement was refused; it has not run. */
  default void refused(StatementRequest request, ResultCode code) {}

  /**
   * Called when a statement that was sent to a backend server has ended.
   *
   * @param elapsed the time since the statement arrived
   */
  default void finished(StatementRequest request, StatementState state, Duration elapsed) {}
}

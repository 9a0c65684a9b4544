package org.persimmonwalk.bench;

import java.io.PrintStream;
import java.time.Duration;
import org.persimmonwalk.entryhost.TrafficListener;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.routing.RoutingDecision;

/**
 * Prints each routing decision with its reason, and the outcome of each statement. Called on
 * traffic threads.
 */
public final class RoutingPrinter implements TrafficListener {
  private final PrintStream output;

  private RoutingPrinter(PrintStream output) {
    this.output = output;
  }

  /** Returns a printer for the given stream. */
  public static RoutingPrinter of(PrintStream output) {
    return new RoutingPrinter(output);
  }

  @Override
  public void routed(StatementRequest request, RoutingDecision.Execute decision) {
    output.printf(
        "    %s to %s in %s, term %s: %s%n",
        request.kind(),
        decision.server().id(),
        decision.server().zone(),
        decision.term(),
        decision.reason());
  }

  @Override
  public void refused(StatementRequest request, ResultCode code) {
    output.printf("    %s refused: %s%n", request.kind(), code.message());
  }

  @Override
  public void finished(StatementRequest request, StatementState state, Duration elapsed) {
    output.printf("    %s after %.1f ms%n", state, elapsed.toNanos() / 1e6);
  }
}

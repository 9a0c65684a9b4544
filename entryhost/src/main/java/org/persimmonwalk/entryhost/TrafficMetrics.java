package org.persimmonwalk.entryhost;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import org.persimmonwalk.request.StatementRequest;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.routing.RoutingDecision;
import org.persimmonwalk.routing.RoutingReason;

/**
 * Counts and times statements.
 *
 * <p>Names of the metrics:
 *
 * <ul>
 *   <li>{@code statements.routed.REASON}: counter for each {@link RoutingReason};
 *   <li>{@code statements.refused.CODE}: counter for the label of each {@link ResultCode} that
 *       concerns statements;
 *   <li>{@code statements.finished.STATE}: counter for each {@link StatementState} that concerns
 *       statements;
 *   <li>{@code statements.time.STATE}: timer from the arrival of the statement to its end.
 * </ul>
 */
public final class TrafficMetrics implements TrafficListener {
  private static final String PREFIX = "statements";

  private final MetricRegistry registry;
  private final Map<RoutingReason, Counter> routed;
  private final Map<ResultCode, Counter> refused;
  private final Map<StatementState, Counter> finished;
  private final Map<StatementState, Timer> times;

  private TrafficMetrics(MetricRegistry registry) {
    this.registry = registry;
    routed = all(RoutingReason.class, reason -> true, reason -> counter("routed", reason.name()));
    refused =
        all(
            ResultCode.class,
            code -> concernsStatements(code.statementState()),
            code -> counter("refused", code.label()));
    finished =
        all(
            StatementState.class,
            TrafficMetrics::concernsStatements,
            state -> counter("finished", state.name()));
    times =
        all(
            StatementState.class,
            TrafficMetrics::concernsStatements,
            state -> registry.timer(MetricRegistry.name(PREFIX, "time", state.name())));
  }

  /** Returns a listener that puts its metrics into the registry. */
  public static TrafficMetrics of(MetricRegistry registry) {
    return new TrafficMetrics(registry);
  }

  @Override
  public void routed(StatementRequest request, RoutingDecision.Execute decision) {
    routed.get(decision.reason()).inc();
  }

  @Override
  public void refused(StatementRequest request, ResultCode code) {
    Counter counter = refused.get(code);
    if (counter != null) {
      counter.inc();
    }
  }

  @Override
  public void finished(StatementRequest request, StatementState state, Duration elapsed) {
    if (concernsStatements(state)) {
      finished.get(state).inc();
      times.get(state).update(elapsed);
    }
  }

  private Counter counter(String event, String detail) {
    return registry.counter(MetricRegistry.name(PREFIX, event, detail));
  }

  private static boolean concernsStatements(StatementState state) {
    return state != StatementState.NOT_APPLICABLE;
  }

  /** Creates the metrics at the start, so that a value of 0 is visible and events find theirs. */
  private static <K extends Enum<K>, V> Map<K, V> all(
      Class<K> type, Predicate<K> condition, Function<K, V> metric) {
    Map<K, V> metrics = new EnumMap<>(type);
    for (K constant : type.getEnumConstants()) {
      if (condition.test(constant)) {
        metrics.put(constant, metric.apply(constant));
      }
    }
    return metrics;
  }
}

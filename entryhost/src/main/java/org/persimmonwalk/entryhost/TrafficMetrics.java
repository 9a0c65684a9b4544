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
 * Counts statements and measures their duration. It is called on traffic threads.
 *
 * <p>Names of the metrics:
 *
 * <ul>
 *   <li>{@code statements.routed.REASON}: statements sent to a backend server, counted for each
 *       {@link RoutingReason};
 *   <li>{@code statements.refused.CODE}: refused statements, counted for the label of each {@link
 *       ResultCode} that applies to statements;
 *   <li>{@code statements.finished.STATE}: finished statements, counted for each {@link
 *       StatementState} that applies to statements;
 *   <li>{@code statements.time.STATE}: time from the arrival of a statement until it finished.
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
    routed =
        createMetrics(
            RoutingReason.class, reason -> true, reason -> counter("routed", reason.name()));
    refused =
        createMetrics(
            ResultCode.class,
            code -> appliesToStatements(code.statementState()),
            code -> counter("refused", code.label()));
    finished =
        createMetrics(
            StatementState.class,
            TrafficMetrics::appliesToStatements,
            state -> counter("finished", state.name()));
    times =
        createMetrics(
            StatementState.class,
            TrafficMetrics::appliesToStatements,
            state -> registry.timer(MetricRegistry.name(PREFIX, "time", state.name())));
  }

  /** Registers the metrics and returns the listener that updates them. */
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
    if (appliesToStatements(state)) {
      finished.get(state).inc();
      times.get(state).update(elapsed);
    }
  }

  private Counter counter(String event, String detail) {
    return registry.counter(MetricRegistry.name(PREFIX, event, detail));
  }

  private static boolean appliesToStatements(StatementState state) {
    return state != StatementState.NOT_APPLICABLE;
  }

  /**
   * Creates a metric for each accepted constant at once, so that those with a value of 0 are
   * reported too and no event has to create its metric.
   */
  private static <K extends Enum<K>, V> Map<K, V> createMetrics(
      Class<K> type, Predicate<K> accepted, Function<K, V> factory) {
    Map<K, V> metrics = new EnumMap<>(type);
    for (K constant : type.getEnumConstants()) {
      if (accepted.test(constant)) {
        metrics.put(constant, factory.apply(constant));
      }
    }
    return metrics;
  }
}

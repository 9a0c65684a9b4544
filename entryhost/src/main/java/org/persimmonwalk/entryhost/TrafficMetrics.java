package org.persimmonwalk.entryhost;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Function;
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
 *   <li>{@code statements.refused.CODE}: counter for each label of {@link ResultCode};
 *   <li>{@code statements.finished.STATE}: counter for each {@link StatementState};
 *   <li>{@code statements.time.STATE}: timer from the arrival of the statement to its end.
 * </ul>
 */
public final class TrafficMetrics implements TrafficListener {
  private static final String PREFIX = "statements";

  private final Map<RoutingReason, Counter> routed;
  private final Map<ResultCode, Counter> refused;
  private final Map<StatementState, Counter> finished;
  private final Map<StatementState, Timer> times;

  private TrafficMetrics(MetricRegistry registry) {
    routed =
        all(
            RoutingReason.class,
            reason -> registry.counter(MetricRegistry.name(PREFIX, "routed", reason.name())));
    refused =
        all(
            ResultCode.class,
            code -> registry.counter(MetricRegistry.name(PREFIX, "refused", code.label())));
    finished =
        all(
            StatementState.class,
            state -> registry.counter(MetricRegistry.name(PREFIX, "finished", state.name())));
    times =
        all(
            StatementState.class,
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
    refused.get(code).inc();
  }

  @Override
  public void finished(StatementRequest request, StatementState state, Duration elapsed) {
    finished.get(state).inc();
    times.get(state).update(elapsed);
  }

  private static <K extends Enum<K>, V> Map<K, V> all(Class<K> type, Function<K, V> metric) {
    Map<K, V> metrics = new EnumMap<>(type);
    for (K constant : type.getEnumConstants()) {
      metrics.put(constant, metric.apply(constant));
    }
    return metrics;
  }
}

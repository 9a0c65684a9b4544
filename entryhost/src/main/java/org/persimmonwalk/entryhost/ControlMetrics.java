package org.persimmonwalk.entryhost;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.blackboard.SnapshotListener;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.MonotonicClock;

/**
 * Gauges of the control loop. It must listen to the loop.
 *
 * <p>Names of the metrics:
 *
 * <ul>
 *   <li>{@code control.rounds}: rounds since the start;
 *   <li>{@code control.roundMicroseconds}: time that the controllers took in the last round;
 *   <li>{@code control.longestRoundMicroseconds}: the longest such time since the start;
 *   <li>{@code control.droppedObservations}: observations dropped since the start;
 *   <li>{@code control.snapshotAgeMilliseconds}: time since the last round, -1 before the first.
 * </ul>
 *
 * <p>Example:
 *
 * <pre>{@code
 * control.addListener(ControlMetrics.of(registry, clock, control::droppedObservations));
 * }</pre>
 */
public final class ControlMetrics implements SnapshotListener {
  private final MonotonicClock clock;

  private volatile Round last = new Round(0, MonotonicTime.of(0), Duration.ZERO, Duration.ZERO);

  private ControlMetrics(MonotonicClock clock) {
    this.clock = clock;
  }

  /** One round as the gauges show it. */
  private record Round(long number, MonotonicTime start, Duration time, Duration longest) {}

  /** Returns a listener that puts its gauges into the registry. */
  public static ControlMetrics of(
      MetricRegistry registry, MonotonicClock clock, LongSupplier droppedObservations) {
    ControlMetrics metrics = new ControlMetrics(clock);
    register(registry, "rounds", () -> metrics.last.number());
    register(registry, "roundMicroseconds", () -> microseconds(metrics.last.time()));
    register(registry, "longestRoundMicroseconds", () -> microseconds(metrics.last.longest()));
    register(registry, "droppedObservations", droppedObservations);
    register(registry, "snapshotAgeMilliseconds", metrics::snapshotAgeMilliseconds);
    return metrics;
  }

  @Override
  public void published(Snapshot snapshot) {
    MonotonicTime start = snapshot.publishedAt();
    Duration time = clock.now().since(start);
    Duration longest = time.compareTo(last.longest()) > 0 ? time : last.longest();
    last = new Round(snapshot.round(), start, time, longest);
  }

  private long snapshotAgeMilliseconds() {
    Round round = last;
    return round.number() == 0 ? -1 : clock.now().since(round.start()).toMillis();
  }

  private static void register(MetricRegistry registry, String name, LongSupplier value) {
    Gauge<Long> gauge = value::getAsLong;
    registry.register(MetricRegistry.name("control", name), gauge);
  }

  private static long microseconds(Duration time) {
    return TimeUnit.NANOSECONDS.toMicros(time.toNanos());
  }
}

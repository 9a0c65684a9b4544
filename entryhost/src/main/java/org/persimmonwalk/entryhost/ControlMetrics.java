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
 * Gauges of the control loop. It must be registered as a listener of that loop, which calls it on
 * the control thread; the gauges may be read on any thread.
 *
 * <p>Names of the metrics:
 *
 * <ul>
 *   <li>{@code control.rounds}: rounds since the host started;
 *   <li>{@code control.roundMicroseconds}: time from the start of the last round until this
 *       listener was called: that of the controllers, of the snapshot and of the listeners
 *       registered before this one;
 *   <li>{@code control.longestRoundMicroseconds}: longest such time since the host started;
 *   <li>{@code control.droppedObservations}: observations dropped since the host started;
 *   <li>{@code control.snapshotAgeMilliseconds}: time since the start of the last round, -1 before
 *       the first.
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

  private volatile Round lastRound =
      new Round(0, MonotonicTime.of(0), Duration.ZERO, Duration.ZERO);

  private ControlMetrics(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Values of the last round, replaced as a whole so that the gauges read consistent values. */
  private record Round(long number, MonotonicTime start, Duration duration, Duration longest) {}

  /** Registers the gauges and returns the listener that updates them. */
  public static ControlMetrics of(
      MetricRegistry registry, MonotonicClock clock, LongSupplier droppedObservations) {
    ControlMetrics metrics = new ControlMetrics(clock);
    register(registry, "rounds", () -> metrics.lastRound.number());
    register(registry, "roundMicroseconds", () -> toMicroseconds(metrics.lastRound.duration()));
    register(
        registry, "longestRoundMicroseconds", () -> toMicroseconds(metrics.lastRound.longest()));
    register(registry, "droppedObservations", droppedObservations);
    register(registry, "snapshotAgeMilliseconds", metrics::snapshotAgeMilliseconds);
    return metrics;
  }

  @Override
  public void onPublished(Snapshot snapshot) {
    MonotonicTime start = snapshot.roundStartedAt();
    Duration duration = clock.now().since(start);
    Duration longest = duration.compareTo(lastRound.longest()) > 0 ? duration : lastRound.longest();
    lastRound = new Round(snapshot.round(), start, duration, longest);
  }

  private long snapshotAgeMilliseconds() {
    Round round = lastRound;
    return round.number() == 0 ? -1 : clock.now().since(round.start()).toMillis();
  }

  private static void register(MetricRegistry registry, String name, LongSupplier value) {
    Gauge<Long> gauge = value::getAsLong;
    registry.register(MetricRegistry.name("control", name), gauge);
  }

  private static long toMicroseconds(Duration duration) {
    return TimeUnit.NANOSECONDS.toMicros(duration.toNanos());
  }
}

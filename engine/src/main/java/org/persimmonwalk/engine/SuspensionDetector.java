package org.persimmonwalk.engine;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.MonotonicClock;

/**
 * Detects that the machine may have been suspended: the monotonic clock stops during a suspension
 * while the wall clock continues. A forward step of the wall clock looks the same and costs one
 * verification. The control thread and the traffic thread share one detector.
 */
public final class SuspensionDetector {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final MonotonicClock clock;
  private final LongSupplier wallClockMillis;
  private final long toleranceMillis;
  private long offsetMillis;
  private long suspendedMillis;
  private MonotonicTime resumedAt;
  private Runnable listener = () -> {};

  private SuspensionDetector(
      MonotonicClock clock, LongSupplier wallClockMillis, Duration tolerance) {
    this.toleranceMillis = tolerance.toMillis();
    this.clock = clock;
    this.wallClockMillis = wallClockMillis;
    this.resumedAt = clock.now();
    this.offsetMillis = offset(resumedAt);
  }

  /**
   * Returns a detector that compares the two clocks.
   *
   * @param tolerance the forward step of the wall clock up to which it counts as adjusted
   */
  public static SuspensionDetector of(
      MonotonicClock clock, LongSupplier wallClockMillis, Duration tolerance) {
    return new SuspensionDetector(clock, wallClockMillis, tolerance);
  }

  /** Sets what is called on the thread that notices a suspension; it must return at once. */
  public synchronized void whenResumed(Runnable action) {
    listener = action;
  }

  /**
   * Returns when the host last resumed, as far as the clocks show; the creation of this detector if
   * it never did.
   */
  public synchronized MonotonicTime lastResumedAt() {
    MonotonicTime now = clock.now();
    long offset = offset(now);
    if (offset - offsetMillis > toleranceMillis) {
      resumedAt = now;
      suspendedMillis += offset - offsetMillis;
      listener.run();
    }
    offsetMillis = offset;
    return resumedAt;
  }

  /**
   * Returns for how long the host has been suspended in all since the creation of this detector:
   * the time that the monotonic clock has missed.
   */
  public synchronized Duration suspendedTime() {
    lastResumedAt();
    return Duration.ofMillis(suspendedMillis);
  }

  private long offset(MonotonicTime now) {
    return wallClockMillis.getAsLong() - now.nanoseconds() / NANOS_PER_MILLI;
  }
}

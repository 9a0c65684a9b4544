package org.persimmonwalk.engine;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.MonotonicClock;

/**
 * Notices that the machine may have been suspended: the steady clock stands still meanwhile, while
 * the time of day goes on. A step of the time of day looks the same and costs one verification.
 */
public final class SuspensionDetector {
  /** The time of day is adjusted by less than this between two readings. */
  private static final Duration TOLERANCE = Duration.ofMillis(250);

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final MonotonicClock clock;
  private final LongSupplier timeOfDayMillis;
  private long offsetMillis;
  private MonotonicTime resumedAt;

  private SuspensionDetector(MonotonicClock clock, LongSupplier timeOfDayMillis) {
    this.clock = clock;
    this.timeOfDayMillis = timeOfDayMillis;
    this.resumedAt = clock.now();
    this.offsetMillis = offset(resumedAt);
  }

  /** Returns a detector that compares the two clocks. */
  public static SuspensionDetector of(MonotonicClock clock, LongSupplier timeOfDayMillis) {
    return new SuspensionDetector(clock, timeOfDayMillis);
  }

  /** Returns when the host last resumed, as far as the clocks show; its start if it never did. */
  public synchronized MonotonicTime lastResumedAt() {
    MonotonicTime now = clock.now();
    long offset = offset(now);
    if (offset - offsetMillis > TOLERANCE.toMillis()) {
      resumedAt = now;
    }
    offsetMillis = offset;
    return resumedAt;
  }

  private long offset(MonotonicTime now) {
    return timeOfDayMillis.getAsLong() - now.nanoseconds() / NANOS_PER_MILLI;
  }
}

package org.persimmonwalk.model;

import java.time.Duration;

/**
 * An instant on the monotonic clock of one process. Instants of different processes must not be
 * compared.
 */
public record MonotonicTime(long nanoseconds) implements Comparable<MonotonicTime> {

  /** Returns the instant at the given reading of the clock. */
  public static MonotonicTime of(long nanoseconds) {
    return new MonotonicTime(nanoseconds);
  }

  /** Returns the instant that is the given duration after this one. */
  public MonotonicTime plus(Duration duration) {
    return new MonotonicTime(nanoseconds + duration.toNanos());
  }

  /** Returns the instant that is the given duration before this one. */
  public MonotonicTime minus(Duration duration) {
    return new MonotonicTime(nanoseconds - duration.toNanos());
  }

  /** Returns the time from the given instant to this one, negative if that instant is later. */
  public Duration since(MonotonicTime earlier) {
    return Duration.ofNanos(nanoseconds - earlier.nanoseconds);
  }

  /** Returns whether this instant is before the other one. */
  public boolean isBefore(MonotonicTime other) {
    return nanoseconds - other.nanoseconds < 0;
  }

  /** Returns whether this instant is after the other one. */
  public boolean isAfter(MonotonicTime other) {
    return other.isBefore(this);
  }

  @Override
  public int compareTo(MonotonicTime other) {
    return Long.compare(nanoseconds - other.nanoseconds, 0);
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other
        || (other instanceof MonotonicTime that && nanoseconds == that.nanoseconds);
  }

  @Override
  public int hashCode() {
    return Long.hashCode(nanoseconds);
  }
}

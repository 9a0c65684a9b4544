package org.persimmonwalk.engine.control;

import java.time.Duration;
import org.persimmonwalk.model.MonotonicTime;

/**
 * A reading of the store's steady clock, taken between two local instants. All hosts compare
 * durations on it, so that no host's time of day matters.
 *
 * @param millis the reading in milliseconds
 */
public record StoreTime(long millis, MonotonicTime sentAt, MonotonicTime receivedAt) {

  /** Returns a reading that is not after the store's clock at the given local time. */
  public long earliest(MonotonicTime now) {
    return millis + Math.max(0, now.since(receivedAt).toMillis());
  }

  /** Returns a reading that is not before the store's clock at the given local time. */
  public long latest(MonotonicTime now) {
    return millis + Math.max(0, now.since(sentAt).toMillis()) + 1;
  }

  /** Returns the earliest local time at which the store's clock may show the given reading. */
  public MonotonicTime earliestLocal(long storeMillis) {
    return sentAt.plus(Duration.ofMillis(storeMillis - millis));
  }
}

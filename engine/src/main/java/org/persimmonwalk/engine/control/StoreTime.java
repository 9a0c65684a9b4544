package org.persimmonwalk.engine.control;

import java.time.Duration;
import org.persimmonwalk.model.MonotonicTime;

/**
 * A reading of the store's steady clock, taken at some point between two local times. All hosts
 * measure leases and expiry on this clock, so that no host's time of day matters.
 *
 * @param millis what the store's clock showed, in milliseconds
 * @param sentAt the local time at which the call was sent
 * @param receivedAt the local time at which the answer arrived
 */
public record StoreTime(long millis, MonotonicTime sentAt, MonotonicTime receivedAt) {

  /** Returns a lower bound of the store's clock at the given local time. */
  public long earliest(MonotonicTime now) {
    return millis + Math.max(0, now.since(receivedAt).toMillis());
  }

  /** Returns an upper bound of the store's clock at the given local time. */
  public long latest(MonotonicTime now) {
    return millis + Math.max(0, now.since(sentAt).toMillis()) + 1;
  }

  /** Returns the latest local time at which the store's clock showed the given reading. */
  public MonotonicTime latestLocalTime(long storeMillis) {
    return receivedAt.plus(Duration.ofMillis(storeMillis - millis));
  }

  /** Returns the earliest local time at which the store's clock may show the given reading. */
  public MonotonicTime earliestLocalTime(long storeMillis) {
    return sentAt.plus(Duration.ofMillis(storeMillis - millis));
  }
}

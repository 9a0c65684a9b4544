package org.persimmonwalk.engine.control;

import java.time.Duration;
import org.persimmonwalk.model.MonotonicTime;

/**
 * A reading of the store's clock as a relay passes it on.
 *
 * @param millis the reading in milliseconds
 * @param sentAge the time since the call that brought it was sent
 * @param receivedAge the time since the answer came
 */
public record StoreReading(long millis, Duration sentAge, Duration receivedAge) {

  /** Returns the reading as it is passed on at the given time. */
  public static StoreReading of(StoreTime time, MonotonicTime now) {
    return new StoreReading(time.millis(), now.since(time.sentAt()), now.since(time.receivedAt()));
  }

  /** Returns bounds on this host's clock, given when the relay was asked and when it answered. */
  public StoreTime at(MonotonicTime askedAt, MonotonicTime answeredAt) {
    return new StoreTime(millis, askedAt.minus(sentAge), answeredAt.minus(receivedAge));
  }
}

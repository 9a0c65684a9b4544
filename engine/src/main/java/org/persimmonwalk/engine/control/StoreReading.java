package org.persimmonwalk.engine.control;

import java.time.Duration;
import org.persimmonwalk.model.MonotonicTime;

/**
 * A reading of the store's clock in a reply of the relay. It holds ages instead of local times, as
 * the clocks of two hosts can't be compared.
 *
 * @param millis what the store's clock showed, in milliseconds
 * @param sentAge the time since the call to the store was sent
 * @param receivedAge the time since the store's answer arrived
 */
public record StoreReading(long millis, Duration sentAge, Duration receivedAge) {

  /** Returns the form that the relay sends at the given time. */
  public static StoreReading of(StoreTime time, MonotonicTime now) {
    return new StoreReading(time.millis(), now.since(time.sentAt()), now.since(time.receivedAt()));
  }

  /**
   * Returns the reading bounded by local times.
   *
   * @param requestSentAt when the request to the relay was sent
   * @param replyReceivedAt when the relay's reply arrived
   */
  public StoreTime at(MonotonicTime requestSentAt, MonotonicTime replyReceivedAt) {
    return new StoreTime(millis, requestSentAt.minus(sentAge), replyReceivedAt.minus(receivedAge));
  }
}

package org.persimmonwalk.internal.control.lease;

import java.time.Duration;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Decides when the next requests to peers may be sent. The interval doubles with each request up to
 * a longest one and returns to the shortest one when a request succeeds.
 */
final class RequestBackoff {
  private final Duration shortest;
  private final Duration longest;
  private Duration interval;
  private MonotonicTime next;

  private RequestBackoff(Duration shortest, Duration longest, MonotonicTime now) {
    this.shortest = shortest;
    this.longest = longest;
    this.interval = shortest;
    this.next = now;
  }

  static RequestBackoff of(Duration shortest, Duration longest, MonotonicTime now) {
    return new RequestBackoff(shortest, longest, now);
  }

  boolean isDue(MonotonicTime now) {
    return !now.isBefore(next);
  }

  void requestSent(MonotonicTime now) {
    next = now.plus(interval);
    Duration doubled = interval.multipliedBy(2);
    interval = doubled.compareTo(longest) < 0 ? doubled : longest;
  }

  void requestSucceeded(MonotonicTime now) {
    interval = shortest;
    MonotonicTime earliest = now.plus(shortest);
    next = earliest.isBefore(next) ? earliest : next;
  }
}

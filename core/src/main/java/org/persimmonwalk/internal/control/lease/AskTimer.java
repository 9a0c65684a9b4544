package org.persimmonwalk.internal.control.lease;

import java.time.Duration;
import org.persimmonwalk.model.MonotonicTime;

/** Says when peers may be asked again: soon while they give, more and more rarely if not. */
final class AskTimer {
  private final Duration shortest;
  private final Duration longest;
  private Duration interval;
  private MonotonicTime next;

  private AskTimer(Duration shortest, Duration longest, MonotonicTime now) {
    this.shortest = shortest;
    this.longest = longest;
    this.interval = shortest;
    this.next = now;
  }

  static AskTimer of(Duration shortest, Duration longest, MonotonicTime now) {
    return new AskTimer(shortest, longest, now);
  }

  boolean isDue(MonotonicTime now) {
    return !now.isBefore(next);
  }

  void asked(MonotonicTime now) {
    next = now.plus(interval);
    Duration doubled = interval.multipliedBy(2);
    interval = doubled.compareTo(longest) < 0 ? doubled : longest;
  }

  void gained(MonotonicTime now) {
    interval = shortest;
    MonotonicTime soon = now.plus(shortest);
    next = soon.isBefore(next) ? soon : next;
  }
}

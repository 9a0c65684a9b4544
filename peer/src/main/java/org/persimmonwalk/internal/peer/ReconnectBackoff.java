package org.persimmonwalk.internal.peer;

import java.time.Duration;
import org.persimmonwalk.port.RandomSource;

/** The pauses between attempts to connect to one peer; for one thread. */
public final class ReconnectBackoff {
  private final Duration first;
  private final Duration last;
  private final RandomSource random;
  private Duration next;

  private ReconnectBackoff(Duration first, Duration last, RandomSource random) {
    this.first = first;
    this.last = last;
    this.random = random;
    this.next = first;
  }

  /** Returns a backoff that starts with the first pause and doubles it up to the last one. */
  public static ReconnectBackoff of(Duration first, Duration last, RandomSource random) {
    return new ReconnectBackoff(first, last, random);
  }

  /** Returns the next pause; half of it is random, so that hosts do not connect all at once. */
  public Duration next() {
    Duration full = next;
    Duration doubled = full.multipliedBy(2);
    next = doubled.compareTo(last) > 0 ? last : doubled;
    long half = full.toMillis() / 2;
    int jitter = random.nextInt(Math.toIntExact(full.toMillis() - half) + 1);
    return Duration.ofMillis(half + jitter);
  }

  /** Starts again with the first pause. */
  public void reset() {
    next = first;
  }
}

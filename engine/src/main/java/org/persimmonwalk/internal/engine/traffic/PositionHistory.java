package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Recent log positions of a group's primary with the time at which each was requested. A position
 * in an answer covers every commit acknowledged before the request was sent, so it bounds the
 * staleness of reads.
 */
public final class PositionHistory {
  /**
   * How long samples are kept. More than any staleness that routes are likely to allow would only
   * cost memory.
   */
  private static final Duration RETENTION = Duration.ofSeconds(30);

  /** Samples closer together would not let reads choose noticeably older positions. */
  private static final Duration MINIMUM_SPACING = Duration.ofMillis(50);

  /**
   * Allowance for the time that a read takes to reach its server after the choice. With a staleness
   * that is not longer no position is ever recent enough.
   */
  public static final Duration TRANSIT_MARGIN = Duration.ofMillis(150);

  private final Deque<Sample> samples = new ArrayDeque<>();

  PositionHistory() {}

  void add(MonotonicTime sentAt, TermPosition position) {
    Sample last = samples.peekLast();
    if (last != null && sentAt.since(last.sentAt()).compareTo(MINIMUM_SPACING) < 0) {
      return;
    }
    samples.addLast(new Sample(sentAt, position));
    while (sentAt.since(samples.getFirst().sentAt()).compareTo(RETENTION) > 0) {
      samples.removeFirst();
    }
  }

  void clear() {
    samples.clear();
  }

  /**
   * Returns the oldest position that satisfies the given staleness: the older the position, the
   * more replicas have it. Empty if no sample is recent enough.
   */
  Optional<TermPosition> oldestWithin(Duration staleness, MonotonicTime now) {
    MonotonicTime earliest = now.minus(staleness).plus(TRANSIT_MARGIN);
    Iterator<Sample> all = samples.iterator();
    while (all.hasNext()) {
      Sample sample = all.next();
      if (!sample.sentAt().isBefore(earliest)) {
        return Optional.of(sample.position());
      }
    }
    return Optional.empty();
  }

  private record Sample(MonotonicTime sentAt, TermPosition position) {}
}

package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Positions of a group's primary. A position read from an answer covers every commit acknowledged
 * before the request was sent.
 */
final class PositionHistory {
  /** Longer than any staleness that routes are likely to allow would only cost memory. */
  private static final Duration KEPT = Duration.ofSeconds(30);

  /** Closer samples would not let reads choose noticeably older positions. */
  private static final Duration SPACING = Duration.ofMillis(50);

  /** Time for a read to reach its server after the choice. */
  private static final Duration MARGIN = Duration.ofMillis(150);

  private final Deque<Sample> samples = new ArrayDeque<>();

  void add(MonotonicTime sentAt, TermPosition position) {
    Sample last = samples.peekLast();
    if (last != null && sentAt.since(last.sentAt()).compareTo(SPACING) < 0) {
      return;
    }
    samples.addLast(new Sample(sentAt, position));
    while (sentAt.since(samples.getFirst().sentAt()).compareTo(KEPT) > 0) {
      samples.removeFirst();
    }
  }

  void clear() {
    samples.clear();
  }

  /**
   * Returns the oldest position that reads of the given staleness may rely on, as replicas that are
   * far behind may have it already; empty if no sample is recent enough.
   */
  Optional<TermPosition> oldestWithin(Duration staleness, MonotonicTime now) {
    MonotonicTime earliest = now.minus(staleness).plus(MARGIN);
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

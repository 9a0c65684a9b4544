package org.persimmonwalk.testing;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Simulated time that advances only when a test calls {@link #advance}. Scheduled actions run in
 * the order of their times, on the thread that advances the time.
 */
public final class SimulatedTime {
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
  private long now;
  private long nextSequence;

  /** Returns the simulated time in nanoseconds since the start. */
  public long now() {
    return now;
  }

  /** Schedules an action to run after the given delay. */
  public void after(Duration delay, Runnable action) {
    events.add(new Event(now + delay.toNanos(), nextSequence++, action));
  }

  /** Advances the time by the given span and runs the actions that become due. */
  public void advance(Duration span) {
    long end = now + span.toNanos();
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.remove();
      now = event.at();
      event.action().run();
    }
    now = end;
  }

  private record Event(long at, long sequence, Runnable action) {}
}

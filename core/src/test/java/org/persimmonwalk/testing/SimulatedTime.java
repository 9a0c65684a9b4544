package org.persimmonwalk.testing;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions at their time on the thread of the test. */
public final class SimulatedTime {
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private long now;
  private long eventsMade;

  /** Returns the nanoseconds since the start. */
  public long now() {
    return now;
  }

  /** Runs an action after the given time. */
  public void after(Duration delay, Runnable action) {
    events.add(new Event(now + delay.toNanos(), eventsMade++, action));
  }

  /** Runs the actions of the given time span. */
  public void advance(Duration span) {
    long end = now + span.toNanos();
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.remove();
      now = event.at();
      event.action().run();
    }
    now = end;
  }

  private record Event(long at, long number, Runnable action) {}
}

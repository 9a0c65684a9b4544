package org.persimmonwalk.engine.testing;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.persimmonwalk.engine.TrafficScheduler;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.testing.FakeClock;

/** Runs scheduled actions when the test advances the clock. */
public final class FakeScheduler implements TrafficScheduler {
  private final FakeClock clock;
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparing(Task::due).thenComparingLong(Task::sequence));
  private long sequence;

  public FakeScheduler(FakeClock clock) {
    this.clock = clock;
  }

  @Override
  public Runnable schedule(Duration delay, Runnable action) {
    Task task = new Task(clock.now().plus(delay), sequence++, action);
    tasks.add(task);
    return () -> tasks.remove(task);
  }

  /** Advances the clock and runs the tasks that become due, in order of their time. */
  public void advance(Duration duration) {
    MonotonicTime end = clock.now().plus(duration);
    while (!tasks.isEmpty() && !tasks.peek().due().isAfter(end)) {
      Task task = tasks.poll();
      if (task.due().isAfter(clock.now())) {
        clock.advance(task.due().since(clock.now()));
      }
      task.action().run();
    }
    clock.advance(end.since(clock.now()));
  }

  private record Task(MonotonicTime due, long sequence, Runnable action) {}
}

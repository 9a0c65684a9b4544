package org.persimmonwalk.internal.engine.traffic;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Runs actions at the deadlines of operations. Timers stand still while the host is suspended, so
 * they are set anew afterwards, and those whose deadline has passed meanwhile run at once.
 */
final class DeadlineTimers {
  private final TrafficContext context;
  private final Set<Timer> pending = new LinkedHashSet<>();
  private MonotonicTime resumedAt;

  DeadlineTimers(TrafficContext context) {
    this.context = context;
    this.resumedAt = context.suspension().lastResumedAt();
  }

  /** Runs the action at the deadline, unless the returned action is run before. */
  Runnable schedule(OperationDeadline deadline, Runnable action) {
    Timer timer = new Timer(deadline, action);
    pending.add(timer);
    timer.start();
    return timer::cancel;
  }

  /** Sets the timers anew if the host has been suspended; called regularly. */
  void checkSuspension() {
    MonotonicTime last = context.suspension().lastResumedAt();
    if (!last.equals(resumedAt)) {
      resumedAt = last;
      List.copyOf(pending).forEach(Timer::restart);
    }
  }

  private final class Timer {
    private final OperationDeadline deadline;
    private final Runnable action;
    private Runnable stop = () -> {};

    private Timer(OperationDeadline deadline, Runnable action) {
      this.deadline = deadline;
      this.action = action;
    }

    private void start() {
      stop = context.scheduler().schedule(deadline.left(context), this::expire);
    }

    private void restart() {
      stop.run();
      start();
    }

    private void cancel() {
      stop.run();
      pending.remove(this);
    }

    private void expire() {
      if (pending.remove(this)) {
        action.run();
      }
    }
  }
}

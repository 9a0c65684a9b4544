package org.persimmonwalk.blackboard;

import java.util.List;
import java.util.Optional;
import org.persimmonwalk.model.MonotonicTime;

/** A controller of a control loop, and whether and when it has something to do. */
final class ScheduledController {
  private final Controller controller;
  private final Optional<Inputs> inputs;
  private final boolean runsInEachRound;
  private boolean hasNewInput = true;
  private NextRun next = NextRun.onInput();

  ScheduledController(Controller controller) {
    this.controller = controller;
    this.inputs = controller.inputs();
    this.runsInEachRound = inputs.map(Inputs::areOutside).orElse(true);
  }

  /** Returns whether the controller has declared what it reads. */
  boolean isDeclared() {
    return inputs.isPresent();
  }

  /** Returns the entries that it reads, as far as it has declared them. */
  List<EntryKey<?>> entries() {
    return inputs.map(Inputs::entries).orElse(List.of());
  }

  void entryChanged() {
    hasNewInput = true;
  }

  void receive(List<Observation> observations) {
    if (hasNewInput || runsInEachRound) {
      return;
    }
    for (Observation observation : observations) {
      if (inputs.get().includes(observation)) {
        hasNewInput = true;
        return;
      }
    }
  }

  boolean mustRun(MonotonicTime now) {
    return hasNewInput || runsInEachRound || next.isDue(now);
  }

  /**
   * Returns when the controller must run next as far as known now; empty if an input must change
   * before.
   *
   * @param now stands for the next round
   */
  Optional<MonotonicTime> nextRunAt(MonotonicTime now) {
    return hasNewInput ? Optional.of(now) : next.at();
  }

  void run(Blackboard blackboard, RoundContext context) {
    hasNewInput = false;
    // Holds if the run fails, so that the controller runs again in the next round.
    next = NextRun.inNextRound(context.now());
    controller.run(blackboard, context);
    next = controller.nextRun(blackboard, context.now());
  }

  /** Runs the controller although it has nothing to do. */
  void runSkipped(Blackboard blackboard, RoundContext context) {
    controller.run(blackboard, context);
  }

  /** Returns what it declared after its last run. */
  NextRun next() {
    return next;
  }

  /** Returns what it declares now. */
  NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    return controller.nextRun(blackboard, now);
  }

  @Override
  public String toString() {
    return controller.getClass().getSimpleName();
  }
}

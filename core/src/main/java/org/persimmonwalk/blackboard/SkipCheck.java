package org.persimmonwalk.blackboard;

import java.util.ArrayList;
import java.util.List;

/**
 * Runs controllers that the loop skips, and fails if that has an effect: a skipped controller that
 * would have acted is a late timer.
 */
final class SkipCheck {
  private final Blackboard blackboard;
  private final List<String> effects = new ArrayList<>();

  SkipCheck(Blackboard blackboard) {
    this.blackboard = blackboard;
  }

  void run(ScheduledController controller, RoundContext context) {
    int commands = blackboard.commands().size();
    NextRun declared = controller.next();
    effects.clear();
    controller.runSkipped(blackboard, context);
    for (Command command : blackboard.commands().subList(commands, blackboard.commands().size())) {
      effects.add("submitted " + command);
    }
    NextRun found = controller.nextRun(blackboard, context.now());
    boolean isEarlier =
        found.at().isPresent()
            && (declared.at().isEmpty() || found.at().get().isBefore(declared.at().get()));
    if (isEarlier) {
      effects.add("must run at " + found + " instead of " + declared);
    }
    if (!effects.isEmpty()) {
      throw new AssertionError(
          controller + " was skipped at " + context.now() + " but would have acted: " + effects);
    }
  }

  void entryChanged(EntryKey<?> entry, Object old, Object value) {
    if (!value.equals(old)) {
      effects.add("changed " + entry + " from " + old + " to " + value);
    }
  }
}

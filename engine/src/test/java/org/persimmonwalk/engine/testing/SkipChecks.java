package org.persimmonwalk.engine.testing;

import org.persimmonwalk.blackboard.ControlLoop;

/**
 * Chooses the hosts whose control loops also run the controllers that they would skip, and fail if
 * one acts. By default every other host does, and the rest skip them as in service. The system
 * property {@code persimmonwalk.skips} chooses {@code checked} or {@code unchecked} for all hosts.
 */
final class SkipChecks {
  private static final String MODE = System.getProperty("persimmonwalk.skips", "alternating");

  private SkipChecks() {}

  static void enable(ControlLoop loop, int hostNumber) {
    boolean isChecked =
        MODE.equals("checked") || (!MODE.equals("unchecked") && hostNumber % 2 == 1);
    if (isChecked) {
      loop.checkSkippedControllers();
    }
  }
}

package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.SuspensionDetector;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Tells the other controllers when the host has resumed after a suspension, by comparing the clocks
 * in each round and regularly. The traffic thread, which compares them for each statement, starts a
 * round if it is the first to notice. Runs before the controllers that read the entry, so that they
 * act in the same round. Writes the resumed at entry.
 */
public final class SuspensionController implements Controller {
  /**
   * How soon a host without traffic notices; at most 50 ms later than with rounds every 50 ms, also
   * if the thread wakes up a little late.
   */
  static final Duration CHECK_INTERVAL = Duration.ofMillis(90);

  private final SuspensionDetector suspension;

  private SuspensionController(SuspensionDetector suspension) {
    this.suspension = suspension;
  }

  /** Returns a controller that has seen no suspension. */
  public static SuspensionController create(SuspensionDetector suspension) {
    return new SuspensionController(suspension);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime resumedAt = suspension.lastResumedAt();
    boolean isKnown =
        blackboard.get(EngineEntries.RESUMED_AT).filter(resumedAt::equals).isPresent();
    if (!isKnown) {
      blackboard.put(EngineEntries.RESUMED_AT, Optional.of(resumedAt));
    }
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(Inputs.outside());
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    return NextRun.at(now.plus(CHECK_INTERVAL));
  }
}

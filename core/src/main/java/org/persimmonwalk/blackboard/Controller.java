package org.persimmonwalk.blackboard;

import java.util.Optional;
import org.persimmonwalk.model.MonotonicTime;

/**
 * A part of the control logic. It reads any entry of the blackboard and writes only the entries
 * that it owns. A controller runs on the control thread, does no input or output and calls no other
 * controller.
 *
 * <p>A controller that declares its inputs is skipped in rounds in which it has none and is not
 * due. It must be such that a run without a new input before the next due time would put no entry,
 * submit no command and write no log line (docs/design/control-rounds.md).
 */
public interface Controller {

  /** Reads this round's observations and the entries, writes entries and submits commands. */
  void run(Blackboard blackboard, RoundContext context);

  /** Returns what the controller reads; empty if that is not declared, for a run in each round. */
  default Optional<Inputs> inputs() {
    return Optional.empty();
  }

  /**
   * Returns when the controller must run next if none of its inputs changes before; by default in
   * the next round. Called after each run.
   *
   * @param now the time of the run
   */
  default NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    return NextRun.inNextRound(now);
  }
}

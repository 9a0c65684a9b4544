package org.persimmonwalk.port;

import org.persimmonwalk.blackboard.Command;

/** Carries out commands without blocking and posts their results as observations. */
public interface CommandExecutor {

  /**
   * Starts a command; each command leads to at most one result. It must not throw, as the other
   * commands of the round would be lost.
   */
  void execute(Command command);
}

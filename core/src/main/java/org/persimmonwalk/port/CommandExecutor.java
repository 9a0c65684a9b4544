package org.persimmonwalk.port;

import org.persimmonwalk.blackboard.Command;

/** Executes commands without blocking and posts their results as observations. */
public interface CommandExecutor {

  /**
   * Starts a command, which leads to at most one result. The method must not throw, because the
   * remaining commands of the round would be lost. The control thread calls it.
   */
  void execute(Command command);
}

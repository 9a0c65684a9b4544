package org.persimmonwalk.internal.execution;

import org.persimmonwalk.blackboard.Command;

/**
 * Carries out one type of command. Called on the control thread, so it must not block.
 *
 * @param <C> the type of command
 */
public interface CommandHandler<C extends Command> {

  /** Starts the command; the result, if any, is posted to the control loop. */
  void handle(C command);
}

package org.persimmonwalk.internal.execution;

import org.persimmonwalk.blackboard.Command;

/**
 * Carries out one type of command without blocking.
 *
 * @param <C> the type of command
 */
public interface CommandHandler<C extends Command> {

  /** Starts the command; its result is posted to the control loop. */
  void handle(C command);
}

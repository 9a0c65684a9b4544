package org.persimmonwalk.blackboard;

/**
 * Reads entries of the blackboard and writes entries of its own concern. A controller does no input
 * or output and calls no other controller.
 */
public interface Controller {

  /** Reads this round's observations and entries, and writes entries and commands. */
  void run(Blackboard blackboard, RoundContext context);
}

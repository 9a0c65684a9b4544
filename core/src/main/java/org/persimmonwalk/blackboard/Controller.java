package org.persimmonwalk.blackboard;

/**
 * A part of the control logic. It reads any entry of the blackboard and writes only the entries
 * that it owns. A controller runs on the control thread, does no input or output and calls no other
 * controller.
 */
public interface Controller {

  /** Reads this round's observations and the entries, writes entries and submits commands. */
  void run(Blackboard blackboard, RoundContext context);
}

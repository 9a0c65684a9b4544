package org.persimmonwalk.blackboard;

/** An event or the result of a command that another thread reports to the control thread. */
public interface Observation {

  /**
   * Returns whether the control loop may drop the observation when its queue is full. Results of
   * commands must not be dropped.
   */
  default boolean isDroppable() {
    return false;
  }
}

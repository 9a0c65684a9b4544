package org.persimmonwalk.blackboard;

/** Something that an executor or a traffic thread has seen and reports to the control thread. */
public interface Observation {

  /**
   * Returns whether the control loop may drop the observation when its queue is full. Results of
   * commands must not be dropped.
   */
  default boolean droppable() {
    return false;
  }
}

package org.persimmonwalk.internal.standin.engine;

import org.persimmonwalk.model.MonotonicTime;

/** Brings one part of the group's state up to the given time. */
interface StateController {

  /** Reads and writes the blackboard. */
  void run(GroupState state, MonotonicTime now);
}

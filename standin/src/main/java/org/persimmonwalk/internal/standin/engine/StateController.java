package org.persimmonwalk.internal.standin.engine;

import org.persimmonwalk.model.MonotonicTime;

/** Advances one aspect of replication to the given time. */
interface StateController {

  /** Applies to the blackboard everything that is due by {@code now}. */
  void run(GroupState state, MonotonicTime now);
}

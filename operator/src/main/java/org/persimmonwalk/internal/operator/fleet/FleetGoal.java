package org.persimmonwalk.internal.operator.fleet;

import org.persimmonwalk.id.Revision;

/** The condition on which a host is polled no longer. */
public interface FleetGoal {

  /** Returns whether a host with this newest result needs no further poll. */
  boolean isReachedBy(HostPollResult result);

  /** Returns the goal that is reached after one poll of each host, even if it fails. */
  static FleetGoal onePoll() {
    return result -> true;
  }

  /** Returns the goal that each host has the given revision or a newer one in force. */
  static FleetGoal revision(Revision revision) {
    return result ->
        result instanceof HostPollResult.Reported reported
            && !revision.isNewerThan(reported.report().revision());
  }
}

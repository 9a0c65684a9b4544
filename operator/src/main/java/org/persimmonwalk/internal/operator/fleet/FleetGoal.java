package org.persimmonwalk.internal.operator.fleet;

import org.persimmonwalk.id.Revision;

/** Decides when no more questions to a host are needed. */
public interface FleetGoal {

  /** Returns whether the answer of a host is enough. */
  boolean isReachedBy(HostAnswer answer);

  /** Returns the goal that each host answers or fails once. */
  static FleetGoal oneAnswer() {
    return answer -> true;
  }

  /** Returns the goal that each host has the revision or a newer one in force. */
  static FleetGoal revision(Revision revision) {
    return answer ->
        answer instanceof HostAnswer.Reported reported
            && !revision.isNewerThan(reported.report().revision());
  }
}

package org.persimmonwalk.admission;

import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Rate limit: decides whether a workspace may run one more statement now. Traffic threads call it
 * for each statement, so implementations are thread-safe.
 */
public interface AdmissionPolicy {

  /**
   * Takes one statement from the workspace's rate limit at this host.
   *
   * @return whether the statement may run
   */
  boolean admit(Snapshot snapshot, WorkspaceId workspace, MonotonicTime now);
}

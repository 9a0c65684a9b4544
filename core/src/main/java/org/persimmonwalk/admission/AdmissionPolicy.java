package org.persimmonwalk.admission;

import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Decides whether a workspace may run one more statement now. Implementations are safe for use by
 * several threads.
 */
public interface AdmissionPolicy {

  /** Takes one statement from the workspace's share and returns whether there was one to take. */
  boolean admit(Snapshot snapshot, WorkspaceId workspace, MonotonicTime now);
}

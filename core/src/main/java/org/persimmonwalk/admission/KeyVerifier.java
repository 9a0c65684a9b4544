package org.persimmonwalk.admission;

import java.util.Optional;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.result.ResultCode;

/** Decides whether a caller's key grants access to a workspace now. */
public interface KeyVerifier {

  /** Returns why access to the workspace is refused; empty if it is granted. */
  Optional<ResultCode> verify(
      Snapshot snapshot, WorkspaceId workspace, Optional<KeyHash> key, MonotonicTime now);
}

package org.persimmonwalk.admission;

import org.persimmonwalk.id.WorkspaceId;

/** Tells how large a part of a backend server each workspace gets when it is short. */
public interface WorkspaceWeights {

  /** Returns the weight of the workspace, above 0. */
  double weight(WorkspaceId workspace);

  /** Returns the same weight for every workspace. */
  static WorkspaceWeights equal() {
    return workspace -> 1;
  }
}

package org.persimmonwalk.admission;

import org.persimmonwalk.id.WorkspaceId;

/** Weights that divide a backend server's time among workspaces when it is overloaded. */
public interface WorkspaceWeights {

  /** Returns the weight of the workspace, above 0. */
  double weight(WorkspaceId workspace);

  /** Returns the same weight for every workspace. */
  static WorkspaceWeights equal() {
    return workspace -> 1;
  }
}

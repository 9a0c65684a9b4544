package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The demand of a workspace's callers at this host was measured.
 *
 * @param workspace the workspace
 * @param demand statements per second, admitted or not
 * @param tokens tokens in the workspace's bucket: statements that it could run at once
 * @param measuredAt when demand and tokens were measured
 */
public record DemandMeasured(
    WorkspaceId workspace, double demand, double tokens, MonotonicTime measuredAt)
    implements Observation {

  /** Checks that all parts are present. */
  public DemandMeasured {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(measuredAt, "measuredAt");
  }

  @Override
  public boolean isDroppable() {
    return true;
  }
}

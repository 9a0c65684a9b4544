package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * What callers of a workspace ask of this host.
 *
 * @param workspace the workspace
 * @param demand statements per second, admitted or not
 * @param tokens statements that the workspace could run at once when this was measured
 * @param measuredAt when this was measured
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
  public boolean droppable() {
    return true;
  }
}

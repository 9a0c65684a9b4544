package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.WorkspaceId;

/**
 * Operations of a workspace came.
 *
 * @param epoch the epoch of the tokens that the count belongs to
 * @param spent the tokens spent in that epoch up to now
 * @param operations the operations since the last report
 * @param waiting whether one of them waits for a token
 */
public record WorkspaceDemand(
    WorkspaceId workspace, long epoch, long spent, int operations, boolean waiting)
    implements Observation {}

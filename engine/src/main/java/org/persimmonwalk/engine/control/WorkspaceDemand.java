package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.WorkspaceId;

/**
 * An operation of a workspace came.
 *
 * @param epoch the epoch of the tokens that the count belongs to
 * @param spent the tokens spent in that epoch up to now
 * @param waiting whether the operation waits for a token
 */
public record WorkspaceDemand(WorkspaceId workspace, long epoch, long spent, boolean waiting)
    implements Observation {}

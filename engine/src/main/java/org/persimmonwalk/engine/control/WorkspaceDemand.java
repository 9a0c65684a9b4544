package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.WorkspaceId;

/**
 * The operations of a workspace at this host since the last report of the traffic thread.
 *
 * @param epoch the epoch of the tokens spent
 * @param spent the tokens spent so far in that epoch
 * @param operations the operations since the last report
 * @param waiting the operations that wait for a token
 */
public record WorkspaceDemand(
    WorkspaceId workspace, long epoch, long spent, int operations, int waiting)
    implements Observation {}

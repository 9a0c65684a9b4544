package org.persimmonwalk.engine.control;

import org.persimmonwalk.id.WorkspaceId;

/**
 * Asks for tokens of a workspace.
 *
 * @param held the tokens that the asking host holds
 * @param demand the operations per second that it sees
 * @param target the tokens that it wants to hold
 */
public record TokenAsk(WorkspaceId workspace, long held, double demand, long target) {

  /** Returns the tokens that are missing. */
  public long wanted() {
    return Math.max(0, target - held);
  }
}

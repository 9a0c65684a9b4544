package org.persimmonwalk.engine.control;

import org.persimmonwalk.id.WorkspaceId;

/**
 * A request for tokens of a workspace.
 *
 * @param held the tokens that the requesting host holds
 * @param demand the operations per second at that host
 * @param target the tokens that the host wants to hold in advance
 * @param waiting the operations that wait for a token, in addition to the target
 */
public record TokenRequest(
    WorkspaceId workspace, long held, double demand, long target, long waiting) {

  /** Returns how many tokens the host lacks. */
  public long wanted() {
    return Math.max(0, target + waiting - held);
  }
}

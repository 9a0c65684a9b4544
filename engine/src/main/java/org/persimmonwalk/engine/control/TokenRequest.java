package org.persimmonwalk.engine.control;

import org.persimmonwalk.id.WorkspaceId;

/**
 * A request for tokens of a workspace.
 *
 * @param held the tokens that the requesting host holds
 * @param demand the operations per second at that host
 * @param target the tokens that the host wants to hold in advance
 * @param waiting the operations that wait for a token, in addition to the target
 * @param forPool whether the requesting host lends the tokens on; known to that host only
 */
public record TokenRequest(
    WorkspaceId workspace, long held, double demand, long target, long waiting, boolean forPool) {

  /** Creates a request for tokens that the requesting host spends itself, as far as is known. */
  public TokenRequest(WorkspaceId workspace, long held, double demand, long target, long waiting) {
    this(workspace, held, demand, target, waiting, false);
  }

  /**
   * Returns the request with further tokens that the host holds and wants to keep, so that it asks
   * for as many as before.
   */
  public TokenRequest withFurther(long tokens) {
    return new TokenRequest(workspace, held + tokens, demand, target + tokens, waiting, forPool);
  }

  /** Returns how many tokens the host lacks. */
  public long wanted() {
    return Math.max(0, target + waiting - held);
  }
}

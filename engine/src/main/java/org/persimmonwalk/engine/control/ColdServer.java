package org.persimmonwalk.engine.control;

import org.persimmonwalk.engine.ServerEntry;

/** A server that is, or may be, slow because it has just started. */
public record ColdServer(ServerEntry server, Reason reason) {

  /** Returns whether the server itself reports to be cold. */
  public boolean isReported() {
    return reason == Reason.REPORTED;
  }

  /** Why the server counts as cold. */
  public enum Reason {
    /** Its entry in the server list states it. */
    REPORTED,
    /** A connection to it was lost, and no later list shows whether it has restarted. */
    CONNECTION_LOST
  }
}

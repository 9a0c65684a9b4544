package org.persimmonwalk.internal.engine.traffic;

import java.util.Optional;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;

/**
 * The server that a request is sent to.
 *
 * @param primary whether the server is used as the primary of its group
 * @param position the position that the server must have reached; empty on the primary
 * @param onlyThere whether no other server can run the request
 */
record ExecutionTarget(
    ServerPool pool, boolean primary, Optional<TermPosition> position, boolean onlyThere) {

  /** In an evacuated zone, what only a primary can run is sent to it until the deadline. */
  boolean mayBeUsed(TrafficContext context) {
    ServerEntry server = pool.server();
    return onlyThere ? !context.isPastEvacuationDeadline(server) : !context.isEvacuated(server);
  }
}

package org.persimmonwalk.engine;

import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.SocketEndpoint;

/**
 * A backend server, as it describes itself in the server list.
 *
 * @param slots the number of statements that it runs at once
 * @param draining whether it is about to leave service
 * @param primary whether it claims to be the primary of its group
 * @param startedAtMillis the Unix time of its start; a different value means that it restarted and
 *     lost its state
 */
public record ServerEntry(
    BackendServerId id,
    DatabaseGroupId group,
    SocketEndpoint endpoint,
    AvailabilityZone zone,
    int slots,
    boolean draining,
    boolean primary,
    long startedAtMillis) {

  /** Returns whether both entries describe the same process at the same address. */
  public boolean sameProcess(ServerEntry other) {
    return id.equals(other.id)
        && endpoint.equals(other.endpoint)
        && startedAtMillis == other.startedAtMillis;
  }
}

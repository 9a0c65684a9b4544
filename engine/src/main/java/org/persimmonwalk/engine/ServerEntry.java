package org.persimmonwalk.engine;

import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.SocketEndpoint;

/**
 * What a backend server says of itself.
 *
 * @param slots the statements that it runs at once
 * @param draining whether it is about to leave
 * @param primary whether it takes itself for the primary of its group
 * @param startedAtMillis the Unix time of its start; another value means that it forgot everything
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

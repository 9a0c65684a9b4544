package org.persimmonwalk.model;

import java.util.Objects;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;

/**
 * A backend server of a database group, as configured.
 *
 * @param id the server
 * @param zone the availability zone of the server
 * @param endpoint the address and port on which the server listens
 * @param slots the number of statements that the server executes at the same time
 * @param connections the number of connections that the server accepts from all entry hosts
 *     together
 * @param leaving whether the server is being taken out of service and receives no new work
 */
public record BackendServer(
    BackendServerId id,
    AvailabilityZone zone,
    SocketEndpoint endpoint,
    int slots,
    int connections,
    boolean leaving) {

  /** Checks that the server has at least 1 slot and 1 connection. */
  public BackendServer {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(endpoint, "endpoint");
    if (slots < 1 || connections < 1) {
      throw new IllegalArgumentException(
          "backend server "
              + id
              + " needs at least 1 slot and 1 connection, not "
              + slots
              + " and "
              + connections);
    }
  }

  /** Returns a server that takes new work. */
  public static BackendServer of(
      BackendServerId id,
      AvailabilityZone zone,
      SocketEndpoint endpoint,
      int slots,
      int connections) {
    return new BackendServer(id, zone, endpoint, slots, connections, false);
  }

  /** Returns a copy of this server that is leaving. */
  public BackendServer asLeaving() {
    return new BackendServer(id, zone, endpoint, slots, connections, true);
  }
}

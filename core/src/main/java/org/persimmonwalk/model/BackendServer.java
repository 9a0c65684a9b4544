package org.persimmonwalk.model;

import java.util.Objects;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;

/**
 * A backend server of a database group.
 *
 * @param id the server
 * @param zone the availability zone of the server
 * @param endpoint where the server listens
 * @param slots statements that the server executes at once
 * @param connections connections that the server accepts from all entry hosts together
 * @param leaving whether the server gets no new work
 */
public record BackendServer(
    BackendServerId id,
    AvailabilityZone zone,
    SocketEndpoint endpoint,
    int slots,
    int connections,
    boolean leaving) {

  /** Checks the limits. */
  public BackendServer {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(endpoint, "endpoint");
    if (slots < 1 || connections < 1) {
      throw new IllegalArgumentException(
          "backend server " + id + " needs at least 1 slot and 1 connection");
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

  /** Returns the same server, leaving. */
  public BackendServer asLeaving() {
    return new BackendServer(id, zone, endpoint, slots, connections, true);
  }
}

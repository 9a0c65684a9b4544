package org.persimmonwalk.model;

import java.util.Objects;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;

/**
 * An entry host and where peers reach it, from the platform's host list or a heartbeat of the host.
 *
 * @param id the host
 * @param zone the availability zone of the host
 * @param endpoint the address and port on which the host accepts messages from peers
 * @param leaving whether the host is stopping
 */
public record HostEntry(
    EntryHostId id, AvailabilityZone zone, SocketEndpoint endpoint, boolean leaving) {

  /** Checks that all parts are present. */
  public HostEntry {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(endpoint, "endpoint");
  }

  /** Returns a host that is not leaving. */
  public static HostEntry of(EntryHostId id, AvailabilityZone zone, SocketEndpoint endpoint) {
    return new HostEntry(id, zone, endpoint, false);
  }

  /** Returns this host with the given value of {@code leaving}. */
  public HostEntry withLeaving(boolean newLeaving) {
    return leaving == newLeaving ? this : new HostEntry(id, zone, endpoint, newLeaving);
  }
}

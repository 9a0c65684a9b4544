package org.persimmonwalk.model;

import java.util.Objects;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;

/**
 * An entry host, as the platform's host list or the host itself states it.
 *
 * @param id the host
 * @param zone the availability zone of the host
 * @param endpoint where the host accepts messages from peers
 * @param leaving whether the host stops
 */
public record HostEntry(
    EntryHostId id, AvailabilityZone zone, SocketEndpoint endpoint, boolean leaving) {

  /** Checks that all parts are present. */
  public HostEntry {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(endpoint, "endpoint");
  }

  /** Returns a host that stays. */
  public static HostEntry of(EntryHostId id, AvailabilityZone zone, SocketEndpoint endpoint) {
    return new HostEntry(id, zone, endpoint, false);
  }

  /** Returns the same host, leaving or not. */
  public HostEntry withLeaving(boolean newLeaving) {
    return leaving == newLeaving ? this : new HostEntry(id, zone, endpoint, newLeaving);
  }
}

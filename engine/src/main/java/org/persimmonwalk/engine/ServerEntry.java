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

  /** The highest number of slots that is taken for true. */
  public static final int MAXIMUM_SLOTS = 1_000_000;

  /**
   * Checks that the server can be connected to. A host name is rejected because resolving it would
   * block the traffic thread.
   *
   * @throws IllegalArgumentException if the address is not an IP address with a port above 0, or a
   *     number is out of range
   */
  public ServerEntry {
    if (!endpoint.hasIpAddress() || endpoint.port() == 0) {
      throw new IllegalArgumentException(
          "the server's endpoint is not an IP address with a port above 0");
    }
    if (slots < 1 || slots > MAXIMUM_SLOTS) {
      throw new IllegalArgumentException(
          "the server has " + slots + " slots, not between 1 and " + MAXIMUM_SLOTS);
    }
    if (startedAtMillis < 0) {
      throw new IllegalArgumentException("the server's start time is negative");
    }
  }

  /** Returns the entry of the same process while it is draining. */
  public ServerEntry asDraining() {
    return new ServerEntry(id, group, endpoint, zone, slots, true, primary, startedAtMillis);
  }

  /** Returns whether both entries describe the same process at the same address. */
  public boolean sameProcess(ServerEntry other) {
    return id.equals(other.id)
        && endpoint.equals(other.endpoint)
        && startedAtMillis == other.startedAtMillis;
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other
        || (other instanceof ServerEntry that
            && id.equals(that.id)
            && group.equals(that.group)
            && endpoint.equals(that.endpoint)
            && zone.equals(that.zone)
            && slots == that.slots
            && draining == that.draining
            && primary == that.primary
            && startedAtMillis == that.startedAtMillis);
  }

  @Override
  public int hashCode() {
    int hash = id.hashCode();
    hash = 31 * hash + group.hashCode();
    hash = 31 * hash + endpoint.hashCode();
    hash = 31 * hash + zone.hashCode();
    hash = 31 * hash + slots;
    hash = 31 * hash + Boolean.hashCode(draining);
    hash = 31 * hash + Boolean.hashCode(primary);
    hash = 31 * hash + Long.hashCode(startedAtMillis);
    return hash;
  }
}

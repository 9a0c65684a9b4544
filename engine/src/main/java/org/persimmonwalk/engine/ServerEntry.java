package org.persimmonwalk.engine;

import java.time.Duration;
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
 * @param coldLeft how much longer the server stays slow after its start; zero if it is warm
 */
public record ServerEntry(
    BackendServerId id,
    DatabaseGroupId group,
    SocketEndpoint endpoint,
    AvailabilityZone zone,
    int slots,
    boolean draining,
    boolean primary,
    long startedAtMillis,
    Duration coldLeft) {

  /** The highest number of slots that is taken for true. */
  public static final int MAXIMUM_SLOTS = 1_000_000;

  /** The longest time for which a server is taken to be cold. */
  public static final Duration LONGEST_COLD_TIME = Duration.ofDays(1);

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
    if (coldLeft.isNegative() || coldLeft.compareTo(LONGEST_COLD_TIME) > 0) {
      throw new IllegalArgumentException("the server's cold time is out of range");
    }
  }

  /** Creates the entry of a warm server. */
  public ServerEntry(
      BackendServerId id,
      DatabaseGroupId group,
      SocketEndpoint endpoint,
      AvailabilityZone zone,
      int slots,
      boolean draining,
      boolean primary,
      long startedAtMillis) {
    this(id, group, endpoint, zone, slots, draining, primary, startedAtMillis, Duration.ZERO);
  }

  /** Returns the entry of the same process while it is draining. */
  public ServerEntry asDraining() {
    return new ServerEntry(
        id, group, endpoint, zone, slots, true, primary, startedAtMillis, coldLeft);
  }

  /** Returns the entry of the same process with another cold time. */
  public ServerEntry withColdLeft(Duration left) {
    return new ServerEntry(
        id, group, endpoint, zone, slots, draining, primary, startedAtMillis, left);
  }

  /** Returns whether the server describes itself as cold. */
  public boolean reportsCold() {
    return !coldLeft.isZero();
  }

  /** Returns whether the entries differ at most in how far the cold time has counted down. */
  public boolean isSameUpToCountdown(ServerEntry other) {
    return reportsCold() == other.reportsCold() && equals(other.withColdLeft(coldLeft));
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
            && startedAtMillis == that.startedAtMillis
            && coldLeft.equals(that.coldLeft));
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
    hash = 31 * hash + coldLeft.hashCode();
    return hash;
  }
}

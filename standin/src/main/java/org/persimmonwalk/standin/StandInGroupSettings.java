package org.persimmonwalk.standin;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.port.MonotonicClock;

/**
 * The initial settings of a stand-in group.
 *
 * @param servers the servers; the first is the primary of term 1
 * @param ports the port of each server, in the order of the servers; 0 selects a free one
 * @param slots the number of table statements that each server runs at once
 * @param connections the number of connections that each server accepts
 * @param delays the simulated delays
 * @param clock the clock by which commits are received and replayed
 */
public record StandInGroupSettings(
    List<BackendServerId> servers,
    List<Integer> ports,
    int slots,
    int connections,
    Delays delays,
    MonotonicClock clock) {

  /**
   * The simulated delays of a group.
   *
   * @param connect from the password message to the first ready-for-query message of a connection
   * @param service how long a table statement occupies a slot
   * @param receive from a commit to its arrival in a replica's log
   * @param replay from a commit's arrival in a replica's log to its visibility to reads there
   */
  public record Delays(Duration connect, Duration service, Duration receive, Duration replay) {

    /** No delays. */
    public static final Delays NONE =
        new Delays(Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO);

    /** Checks that no delay is null. */
    public Delays {
      Objects.requireNonNull(connect, "connect");
      Objects.requireNonNull(service, "service");
      Objects.requireNonNull(receive, "receive");
      Objects.requireNonNull(replay, "replay");
    }
  }

  private static final int DEFAULT_SLOTS = 3;
  private static final int DEFAULT_CONNECTIONS = 50;

  /** Checks that there is a port for each server and that the limits are positive. */
  public StandInGroupSettings {
    servers = List.copyOf(servers);
    ports = List.copyOf(ports);
    Objects.requireNonNull(delays, "delays");
    Objects.requireNonNull(clock, "clock");
    if (servers.isEmpty() || ports.size() != servers.size()) {
      throw new IllegalArgumentException(
          "a group needs at least one server and a port for each, not servers "
              + servers
              + " and ports "
              + ports);
    }
    if (slots < 1 || connections < 1) {
      throw new IllegalArgumentException(
          "a server needs at least one slot and one connection, not "
              + slots
              + " and "
              + connections);
    }
  }

  /** Returns settings with free ports, 3 slots, 50 connections and no delays. */
  public static StandInGroupSettings of(String... servers) {
    List<BackendServerId> ids = List.of(servers).stream().map(BackendServerId::of).toList();
    List<Integer> ports = ids.stream().map(id -> 0).toList();
    return new StandInGroupSettings(
        ids, ports, DEFAULT_SLOTS, DEFAULT_CONNECTIONS, Delays.NONE, MonotonicClock.system());
  }

  /** Returns the settings with other ports. */
  public StandInGroupSettings withPorts(List<Integer> other) {
    return new StandInGroupSettings(servers, other, slots, connections, delays, clock);
  }

  /** Returns the settings with another number of slots and of connections per server. */
  public StandInGroupSettings withLimits(int otherSlots, int otherConnections) {
    return new StandInGroupSettings(servers, ports, otherSlots, otherConnections, delays, clock);
  }

  /** Returns the settings with other delays. */
  public StandInGroupSettings withDelays(Delays other) {
    return new StandInGroupSettings(servers, ports, slots, connections, other, clock);
  }

  /** Returns the settings with another clock. */
  public StandInGroupSettings withClock(MonotonicClock other) {
    return new StandInGroupSettings(servers, ports, slots, connections, delays, other);
  }
}

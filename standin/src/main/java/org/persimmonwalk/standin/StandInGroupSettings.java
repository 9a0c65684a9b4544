package org.persimmonwalk.standin;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.port.MonotonicClock;

/**
 * How a stand-in group starts.
 *
 * @param servers the servers; the first is the primary of term 1
 * @param ports the ports in the order of the servers, 0 for free ones
 * @param slots the statements that each server runs at once
 * @param connections the connections that each server accepts
 * @param delays the times that things take
 * @param clock the clock of log shipping and replay
 */
public record StandInGroupSettings(
    List<BackendServerId> servers,
    List<Integer> ports,
    int slots,
    int connections,
    Delays delays,
    MonotonicClock clock) {

  /**
   * The times that things take.
   *
   * @param connect from the password to the first ready-for-query of a connection
   * @param service the time that a table statement occupies a slot
   * @param receive from a commit to its arrival at a replica
   * @param replay from the arrival of a commit at a replica to its visibility there
   */
  public record Delays(Duration connect, Duration service, Duration receive, Duration replay) {

    /** Nothing takes time. */
    public static final Delays NONE =
        new Delays(Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO);

    /** Checks that all times are present. */
    public Delays {
      Objects.requireNonNull(connect, "connect");
      Objects.requireNonNull(service, "service");
      Objects.requireNonNull(receive, "receive");
      Objects.requireNonNull(replay, "replay");
    }
  }

  private static final int DEFAULT_SLOTS = 3;
  private static final int DEFAULT_CONNECTIONS = 50;

  /** Checks the numbers. */
  public StandInGroupSettings {
    servers = List.copyOf(servers);
    ports = List.copyOf(ports);
    Objects.requireNonNull(delays, "delays");
    Objects.requireNonNull(clock, "clock");
    if (servers.isEmpty() || ports.size() != servers.size()) {
      throw new IllegalArgumentException("a group needs at least one server and a port for each");
    }
    if (slots < 1 || connections < 1) {
      throw new IllegalArgumentException("a server needs at least one slot and one connection");
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

  /** Returns the settings with other limits per server. */
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

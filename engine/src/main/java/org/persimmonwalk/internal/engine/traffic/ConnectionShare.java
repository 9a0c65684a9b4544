package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.EngineEntries;

/**
 * How many connections to a server this host may have, and how long it keeps idle ones. The server
 * limits the connections of all hosts together.
 */
final class ConnectionShare {
  /** More connections than this would only move the queue from this host to the server. */
  static final int MAXIMUM_CONNECTIONS = 6;

  /**
   * Idle connections beyond the last one are closed after this time, to make room for other hosts.
   */
  static final Duration EXTRA_CONNECTION_IDLE_TIMEOUT = Duration.ofSeconds(12);

  /** The last connection stays longer, as opening a new one takes one of the server's slots. */
  static final Duration LAST_CONNECTION_IDLE_TIMEOUT = Duration.ofSeconds(30);

  /**
   * An idle connection stays this long when there are fewer connections than hosts, except for the
   * hosts that {@link KeptConnections} chooses: each one that is kept shuts out another host, and a
   * session mostly sends its next statement sooner.
   */
  static final Duration SCARCE_CONNECTION_IDLE_TIMEOUT = Duration.ofMillis(300);

  private final TrafficContext context;
  private final ServerEntry server;

  ConnectionShare(TrafficContext context, ServerEntry server) {
    this.context = context;
    this.server = server;
  }

  /**
   * Returns how many connections this host may have: its equal share of those that the server
   * accepts. If that is less than one, hosts take turns, and each may use as many at a time as the
   * server has slots.
   */
  int limit() {
    int evenShare = acceptedConnections() / fleetSize();
    return Math.min(MAXIMUM_CONNECTIONS, evenShare > 0 ? evenShare : Math.max(1, server.slots()));
  }

  private int acceptedConnections() {
    GroupSettings group = context.entry(EngineEntries.CONFIGURATION).groups().get(server.group());
    return group == null ? 1 : group.maximumConnections();
  }

  private int fleetSize() {
    return Math.max(1, context.entry(EngineEntries.FLEET_SIZE));
  }

  /** Returns how long an idle connection is kept beside the given number, itself included. */
  Duration idleTimeout(int connections) {
    if (isScarce() && (connections > 1 || !mayKeepConnection())) {
      return SCARCE_CONNECTION_IDLE_TIMEOUT;
    }
    return connections > 1 ? EXTRA_CONNECTION_IDLE_TIMEOUT : LAST_CONNECTION_IDLE_TIMEOUT;
  }

  /** Returns whether this host may keep an idle connection. */
  boolean mayKeepOne() {
    return !isScarce() || mayKeepConnection();
  }

  /** Returns whether there are fewer connections to the server than hosts. */
  private boolean isScarce() {
    return acceptedConnections() < fleetSize();
  }

  private boolean mayKeepConnection() {
    return KeptConnections.mayKeep(
        context.settings().host(), server.id(), acceptedConnections(), fleetSize());
  }
}

package org.persimmonwalk.internal.engine.traffic;

import org.persimmonwalk.engine.control.HostServerHash;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;

/**
 * Decides which hosts may keep an idle connection to a server that accepts fewer connections than
 * there are hosts. Each host decides for itself by a hash of its name and the server's, so that
 * each server is kept by about as many hosts, and each host keeps some servers, without messages.
 */
final class KeptConnections {
  /** The part of a server's connections that is kept; the rest is for hosts that keep none. */
  private static final double KEPT_PART = 0.6;

  private KeptConnections() {}

  /** Returns whether a host may keep an idle connection to a server. */
  static boolean mayKeep(
      EntryHostId host, BackendServerId server, int acceptedConnections, int fleetSize) {
    double part = KEPT_PART * acceptedConnections / fleetSize;
    return HostServerHash.of(host, server) < part * HostServerHash.STEPS;
  }
}

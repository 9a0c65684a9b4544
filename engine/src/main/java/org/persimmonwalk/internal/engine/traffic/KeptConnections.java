package org.persimmonwalk.internal.engine.traffic;

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

  private static final int HASH_STEPS = 1 << 20;

  private KeptConnections() {}

  /** Returns whether a host may keep an idle connection to a server. */
  static boolean mayKeep(
      EntryHostId host, BackendServerId server, int acceptedConnections, int fleetSize) {
    double part = KEPT_PART * acceptedConnections / fleetSize;
    return mix(31 * host.value().hashCode() + server.value().hashCode()) < part * HASH_STEPS;
  }

  /** Spreads hash codes, which are close to each other for names that differ by a number. */
  private static int mix(int hash) {
    int mixed = hash;
    mixed = (mixed ^ (mixed >>> 16)) * 0x85ebca6b;
    mixed = (mixed ^ (mixed >>> 13)) * 0xc2b2ae35;
    return (mixed ^ (mixed >>> 16)) & (HASH_STEPS - 1);
  }
}

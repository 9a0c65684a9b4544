package org.persimmonwalk.engine.control;

import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;

/**
 * A hash of the names of a host and a server. By it hosts choose differently from each other
 * without messages, and each host chooses alike in every process.
 */
public final class HostServerHash {
  /** Hashes are at least 0 and less than this number. */
  public static final int STEPS = 1 << 20;

  private HostServerHash() {}

  /** Returns the hash of a host and a server. */
  public static int of(EntryHostId host, BackendServerId server) {
    return mix(31 * host.value().hashCode() + server.value().hashCode());
  }

  /** Spreads hash codes, which are close to each other for names that differ by a number. */
  private static int mix(int hash) {
    int mixed = hash;
    mixed = (mixed ^ (mixed >>> 16)) * 0x85ebca6b;
    mixed = (mixed ^ (mixed >>> 13)) * 0xc2b2ae35;
    return (mixed ^ (mixed >>> 16)) & (STEPS - 1);
  }
}

package org.persimmonwalk.engine.control;

import java.util.Optional;

/**
 * How this host learns what the store holds.
 *
 * @param relay the host to ask; present in the kind RELAYED only
 */
public record RelayRole(Kind kind, Optional<RelayHost> relay) {

  /** The host calls the store itself and answers no other host. */
  public static final RelayRole DIRECT = new RelayRole(Kind.DIRECT, Optional.empty());

  /** The host calls the store for its availability zone. */
  public static final RelayRole RELAYING = new RelayRole(Kind.RELAYING, Optional.empty());

  /** Returns the role of a host that asks the given one. */
  public static RelayRole relayedBy(RelayHost relay) {
    return new RelayRole(Kind.RELAYED, Optional.of(relay));
  }

  /** Returns whether the host calls the store only when the relay does not answer. */
  public boolean isRelayed() {
    return kind == Kind.RELAYED;
  }

  /** The kinds of roles. */
  public enum Kind {
    /** Calls the store for itself. */
    DIRECT,
    /** Asks another host of its zone. */
    RELAYED,
    /** Calls the store for the hosts of its zone. */
    RELAYING
  }
}

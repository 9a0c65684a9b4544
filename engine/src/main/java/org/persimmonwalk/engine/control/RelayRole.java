package org.persimmonwalk.engine.control;

import java.util.Optional;

/**
 * From where this host gets the rows of the store: by its own calls or from the relay of its zone.
 *
 * @param relay the host that receives the requests; present for the kind CLIENT only
 */
public record RelayRole(Kind kind, Optional<RelayHost> relay) {

  /** This host calls the store for itself only. */
  public static final RelayRole DIRECT = new RelayRole(Kind.DIRECT, Optional.empty());

  /** This host is the relay: it calls the store for its availability zone. */
  public static final RelayRole RELAY = new RelayRole(Kind.RELAY, Optional.empty());

  /** Returns the role of a host that uses the given relay. */
  public static RelayRole clientOf(RelayHost relay) {
    return new RelayRole(Kind.CLIENT, Optional.of(relay));
  }

  /** Returns whether this host uses the relay, and calls the store only if that fails. */
  public boolean isClient() {
    return kind == Kind.CLIENT;
  }

  /** Returns whether this host is the relay of its zone. */
  public boolean isRelay() {
    return kind == Kind.RELAY;
  }

  /** The three roles. */
  public enum Kind {
    /** Calls the store for itself only. */
    DIRECT,
    /** Sends requests to the relay of its zone. */
    CLIENT,
    /** Calls the store for all hosts of its zone. */
    RELAY
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other
        || (other instanceof RelayRole that && kind.equals(that.kind) && relay.equals(that.relay));
  }

  @Override
  public int hashCode() {
    return 31 * kind.hashCode() + relay.hashCode();
  }
}

package org.persimmonwalk.engine.control;

import java.util.Optional;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.SocketEndpoint;

/** The relay of an availability zone: the entry host that calls the store for the zone. */
public record RelayHost(EntryHostId host, SocketEndpoint endpoint) {
  private static final String SEPARATOR = " ";
  private static final int PARTS = 2;

  /** Parses the result of {@link #text()}; empty if the text names no host at an IP address. */
  public static Optional<RelayHost> parse(String text) {
    String[] parts = text.split(SEPARATOR, PARTS + 1);
    if (parts.length != PARTS) {
      return Optional.empty();
    }
    try {
      return Optional.of(
              new RelayHost(EntryHostId.ofExternal(parts[0]), SocketEndpoint.parse(parts[1])))
          .filter(relay -> relay.endpoint().hasIpAddress());
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /** Returns the form that is stored. */
  public String text() {
    return host.value() + SEPARATOR + endpoint;
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other
        || (other instanceof RelayHost that
            && host.equals(that.host)
            && endpoint.equals(that.endpoint));
  }

  @Override
  public int hashCode() {
    return 31 * host.hashCode() + endpoint.hashCode();
  }
}

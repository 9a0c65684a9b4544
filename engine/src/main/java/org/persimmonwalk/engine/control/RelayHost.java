package org.persimmonwalk.engine.control;

import java.util.Optional;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.SocketEndpoint;

/** The entry host that calls the store on behalf of its availability zone, and its address. */
public record RelayHost(EntryHostId host, SocketEndpoint endpoint) {
  private static final String SEPARATOR = " ";
  private static final int PARTS = 2;

  /** Reads what {@link #text()} wrote; empty if the text names no host. */
  public static Optional<RelayHost> parse(String text) {
    String[] parts = text.split(SEPARATOR);
    return parts.length == PARTS
        ? Optional.of(new RelayHost(EntryHostId.of(parts[0]), SocketEndpoint.parse(parts[1])))
        : Optional.empty();
  }

  /** Returns the form that is kept in the store. */
  public String text() {
    return host.value() + SEPARATOR + endpoint;
  }
}

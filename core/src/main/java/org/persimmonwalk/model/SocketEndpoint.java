package org.persimmonwalk.model;

import java.util.regex.Pattern;

/** The IP address and port on which a process listens. */
public record SocketEndpoint(String address, int port) {

  /** The highest port number. */
  public static final int MAXIMUM_PORT = 65535;

  private static final String OCTET = "(25[0-5]|2[0-4]\\d|1?\\d?\\d)";

  /** The JDK looks up any other text as a host name, but never one that contains a colon. */
  private static final Pattern IP_ADDRESS =
      Pattern.compile("(" + OCTET + "\\.){3}" + OCTET + "|[0-9A-Fa-f.]*:[0-9A-Fa-f:.]*");

  /** Checks that the address is present and the port is valid. */
  public SocketEndpoint {
    if (address == null || address.isBlank()) {
      throw new IllegalArgumentException("an endpoint with port " + port + " needs an IP address");
    }
    if (port < 0 || port > MAXIMUM_PORT) {
      throw new IllegalArgumentException("port " + port + " is not between 0 and " + MAXIMUM_PORT);
    }
  }

  /**
   * Returns the endpoint with the given parts.
   *
   * @throws IllegalArgumentException if the address is blank or the port is not between 0 and 65535
   */
  public static SocketEndpoint of(String address, int port) {
    return new SocketEndpoint(address, port);
  }

  /**
   * Reads an endpoint, for example {@code 127.0.0.1:5432}.
   *
   * @throws IllegalArgumentException if the text is not of the form address:port
   */
  public static SocketEndpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("endpoint '" + text + "' is not of the form address:port");
    }
    return new SocketEndpoint(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Returns whether the address is an IP address, so that connecting to it resolves no name. */
  public boolean hasIpAddress() {
    return IP_ADDRESS.matcher(address).matches();
  }

  @Override
  public String toString() {
    return address + ":" + port;
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other
        || (other instanceof SocketEndpoint that
            && address.equals(that.address)
            && port == that.port);
  }

  @Override
  public int hashCode() {
    return 31 * address.hashCode() + port;
  }
}

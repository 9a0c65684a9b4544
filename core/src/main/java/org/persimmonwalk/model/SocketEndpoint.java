package org.persimmonwalk.model;

/** The IP number and port of a process. */
public record SocketEndpoint(String address, int port) {
  private static final int MAXIMUM_PORT = 65535;

  /** Checks the port. */
  public SocketEndpoint {
    if (address == null || address.isBlank()) {
      throw new IllegalArgumentException("an endpoint needs an IP number");
    }
    if (port < 0 || port > MAXIMUM_PORT) {
      throw new IllegalArgumentException("port " + port + " is not between 0 and " + MAXIMUM_PORT);
    }
  }

  /**
   * Returns the endpoint with the given parts.
   *
   * @throws IllegalArgumentException if the port is not between 0 and 65535
   */
  public static SocketEndpoint of(String address, int port) {
    return new SocketEndpoint(address, port);
  }

  /**
   * Reads an endpoint, for example {@code 127.0.0.1:5432}.
   *
   * @throws IllegalArgumentException if the text lacks a port
   */
  public static SocketEndpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("endpoint '" + text + "' is not of the form address:port");
    }
    return new SocketEndpoint(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return address + ":" + port;
  }
}

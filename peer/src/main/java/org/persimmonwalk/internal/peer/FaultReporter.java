package org.persimmonwalk.internal.peer;

import java.net.SocketAddress;
import org.tinylog.Logger;

/**
 * Receives the reason for each connection that is closed because of a peer: invalid data, a TLS
 * failure or too many connections.
 */
public interface FaultReporter {

  /** Reports why a connection is being closed. */
  void report(SocketAddress remote, String reason);

  /** Returns a reporter that writes one log line for each connection. */
  static FaultReporter logging() {
    return (remote, reason) ->
        Logger.warn("Closing the connection with peer {}: {}", remote, reason);
  }
}

package org.persimmonwalk.internal.peer;

import java.net.SocketAddress;
import org.tinylog.Logger;

/** Is told of each connection that is closed because of what the other side sent. */
public interface FaultReporter {

  /** Reports a connection that is being closed. */
  void report(SocketAddress remote, String reason);

  /** Returns a reporter that writes one log line for each connection. */
  static FaultReporter logging() {
    return (remote, reason) ->
        Logger.warn("Closing the peer connection from {}: {}", remote, reason);
  }
}

package org.persimmonwalk.peer;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of the connections between entry hosts.
 *
 * @param connectTimeout how long a connection attempt may take
 * @param idleTimeout a connection without traffic for this long is closed
 * @param firstRetry the pause after the first failed connection attempt; it doubles up to lastRetry
 * @param lastRetry the longest pause between connection attempts
 * @param bufferedMessages messages to one peer that wait for the connection
 * @param inboundConnections connections that peers may have open to this host
 */
public record PeerSettings(
    Duration connectTimeout,
    Duration idleTimeout,
    Duration firstRetry,
    Duration lastRetry,
    int bufferedMessages,
    int inboundConnections) {
  /** The largest message in bytes, without the length prefix. */
  public static final int FRAME_LIMIT = 1024 * 1024;

  /** Checks the limits. */
  public PeerSettings {
    Objects.requireNonNull(connectTimeout, "connectTimeout");
    Objects.requireNonNull(idleTimeout, "idleTimeout");
    Objects.requireNonNull(firstRetry, "firstRetry");
    Objects.requireNonNull(lastRetry, "lastRetry");
    if (firstRetry.toMillis() < 1 || lastRetry.compareTo(firstRetry) < 0) {
      throw new IllegalArgumentException(
          "the pause between connection attempts needs at least 1 ms and must not shrink");
    }
    if (bufferedMessages < 1 || inboundConnections < 1) {
      throw new IllegalArgumentException("peers need at least 1 buffered message and connection");
    }
  }

  /**
   * Returns the usual limits. A peer of another zone is contacted every few minutes at the target
   * size, so connections to it are opened again rather than kept.
   */
  public static PeerSettings defaults() {
    return new PeerSettings(
        Duration.ofSeconds(1),
        Duration.ofSeconds(60),
        Duration.ofMillis(100),
        Duration.ofSeconds(5),
        16,
        1024);
  }
}

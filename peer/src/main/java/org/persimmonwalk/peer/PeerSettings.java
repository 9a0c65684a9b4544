package org.persimmonwalk.peer;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of the connections between entry hosts.
 *
 * @param connectTimeout the longest time that a connection attempt may take
 * @param idleTimeout the time without traffic after which a connection is closed
 * @param initialRetryDelay the delay after the first failed connection attempt; each further
 *     failure doubles it
 * @param maximumRetryDelay the longest delay between connection attempts
 * @param bufferedMessages the most messages to one peer that are queued
 * @param inboundConnections the most connections that all peers together may open to this host
 */
public record PeerSettings(
    Duration connectTimeout,
    Duration idleTimeout,
    Duration initialRetryDelay,
    Duration maximumRetryDelay,
    int bufferedMessages,
    int inboundConnections) {
  /** The largest message in bytes, without the length prefix. */
  public static final int FRAME_LIMIT = 1024 * 1024;

  /** Checks the limits. */
  public PeerSettings {
    Objects.requireNonNull(connectTimeout, "connectTimeout");
    Objects.requireNonNull(idleTimeout, "idleTimeout");
    Objects.requireNonNull(initialRetryDelay, "initialRetryDelay");
    Objects.requireNonNull(maximumRetryDelay, "maximumRetryDelay");
    if (initialRetryDelay.toMillis() < 1 || maximumRetryDelay.compareTo(initialRetryDelay) < 0) {
      throw new IllegalArgumentException(
          "initialRetryDelay "
              + initialRetryDelay
              + " must be at least 1 ms and not longer than maximumRetryDelay "
              + maximumRetryDelay);
    }
    if (bufferedMessages < 1 || inboundConnections < 1) {
      throw new IllegalArgumentException(
          "bufferedMessages "
              + bufferedMessages
              + " and inboundConnections "
              + inboundConnections
              + " must be at least 1");
    }
  }

  /**
   * Returns the default limits. At the target size, a host sends to a given peer of another zone
   * only every few minutes, so the idle timeout closes such a connection between two messages.
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

package org.persimmonwalk.model;

import java.util.Objects;
import org.persimmonwalk.id.Revision;

/**
 * Asks a peer for its configuration, after a heartbeat showed that the peer has a newer one.
 *
 * @param known the revision that the sender has
 * @param sentAt when the request was sent, on the sender's clock; only the sender may interpret it
 */
public record ConfigurationRequest(Revision known, MonotonicTime sentAt) implements PeerMessage {

  /** Checks that both parts are present. */
  public ConfigurationRequest {
    Objects.requireNonNull(known, "known");
    Objects.requireNonNull(sentAt, "sentAt");
  }
}

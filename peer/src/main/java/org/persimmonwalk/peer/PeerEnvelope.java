package org.persimmonwalk.peer;

import java.util.Objects;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.PeerMessage;

/**
 * A message with its sender and its receiver.
 *
 * @param from the host that sends the message
 * @param to the host that the message is addressed to; a process restarted at the same endpoint is
 *     a different host and ignores it
 * @param message the message
 */
public record PeerEnvelope(EntryHostId from, EntryHostId to, PeerMessage message) {

  /** Checks that all parts are present. */
  public PeerEnvelope {
    Objects.requireNonNull(from, "from");
    Objects.requireNonNull(to, "to");
    Objects.requireNonNull(message, "message");
  }

  /** Returns the envelope with the given parts. */
  public static PeerEnvelope of(EntryHostId from, EntryHostId to, PeerMessage message) {
    return new PeerEnvelope(from, to, message);
  }
}

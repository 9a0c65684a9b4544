package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.PeerMessage;

/** Another entry host sent a message. */
public record PeerMessageReceived(EntryHostId from, PeerMessage message) implements Observation {

  /** Checks that all parts are present. */
  public PeerMessageReceived {
    Objects.requireNonNull(from, "from");
    Objects.requireNonNull(message, "message");
  }
}

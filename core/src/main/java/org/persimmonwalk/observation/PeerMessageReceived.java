package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.PeerMessage;

/**
 * A message was received from another entry host. It may be dropped: heartbeats are repeated,
 * requests are sent again, and the units in a lost transfer are unused until their lease expires.
 */
public record PeerMessageReceived(EntryHostId from, PeerMessage message) implements Observation {
  /** Checks that both parts are present. */
  public PeerMessageReceived {
    Objects.requireNonNull(from, "from");
    Objects.requireNonNull(message, "message");
  }

  @Override
  public boolean isDroppable() {
    return true;
  }
}

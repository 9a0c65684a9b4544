package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.PeerMessage;

/**
 * A message came from another entry host. It may be dropped: a heartbeat is repeated, a request is
 * sent again, and a lost transfer of share costs share until the lease ends.
 */
public record PeerMessageReceived(EntryHostId from, PeerMessage message) implements Observation {
  /** Checks that both parts are present. */
  public PeerMessageReceived {
    Objects.requireNonNull(from, "from");
    Objects.requireNonNull(message, "message");
  }

  @Override
  public boolean droppable() {
    return true;
  }
}

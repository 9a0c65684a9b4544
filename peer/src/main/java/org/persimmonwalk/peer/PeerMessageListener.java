package org.persimmonwalk.peer;

import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.PeerMessage;

/** Receives the messages of other entry hosts; called on event loops. */
public interface PeerMessageListener {

  /** Handles a message; must not block. */
  void received(EntryHostId from, PeerMessage message);
}

package org.persimmonwalk.peer;

import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.PeerMessage;

/** Takes messages that arrive from other entry hosts; called on network threads. */
public interface PeerMessageListener {

  /** Takes a message without blocking. */
  void received(EntryHostId from, PeerMessage message);
}

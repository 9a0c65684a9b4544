package org.persimmonwalk.testing;

import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.PeerMessage;

/** Computes how many bytes a message between entry hosts takes on the network. */
public interface MessageSize {

  /** Returns the number of bytes of the message with its framing. */
  long of(EntryHostId from, EntryHostId to, PeerMessage message);
}

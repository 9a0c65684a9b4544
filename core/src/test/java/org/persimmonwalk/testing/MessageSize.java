package org.persimmonwalk.testing;

import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.PeerMessage;

/** Tells how many bytes a message between entry hosts has on a connection. */
public interface MessageSize {

  /** Returns the number of bytes. */
  long of(EntryHostId from, EntryHostId to, PeerMessage message);
}

package org.persimmonwalk.port;

import java.util.concurrent.CompletionStage;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.PeerMessage;

/** Sends messages to other entry hosts. */
public interface PeerMessenger {

  /** The outcome of a message at the sender; it does not show whether the message arrived. */
  enum SendOutcome {
    /** The message was handed to the network. */
    SENT,
    /** The message was dropped: the peer is unknown or unreachable, or the buffer was full. */
    DROPPED
  }

  /** Sends a message without waiting. The stage does not fail. */
  CompletionStage<SendOutcome> send(EntryHostId to, PeerMessage message);
}

package org.persimmonwalk.command;

import java.util.Objects;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.PeerMessage;

/** Sends a message to another entry host; it may be lost or come twice. */
public record SendPeerMessage(EntryHostId to, PeerMessage message) implements Command {

  /** Checks that all parts are present. */
  public SendPeerMessage {
    Objects.requireNonNull(to, "to");
    Objects.requireNonNull(message, "message");
  }
}

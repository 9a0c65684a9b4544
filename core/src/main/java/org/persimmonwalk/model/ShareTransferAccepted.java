package org.persimmonwalk.model;

import java.util.Objects;
import org.persimmonwalk.id.TransferId;

/** Says that a {@link ShareTransfer} has arrived and has been applied once. */
public record ShareTransferAccepted(TransferId id) implements PeerMessage {

  /** Checks that the transfer is present. */
  public ShareTransferAccepted {
    Objects.requireNonNull(id, "id");
  }
}

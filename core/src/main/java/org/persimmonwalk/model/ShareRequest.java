package org.persimmonwalk.model;

import java.util.Objects;
import org.persimmonwalk.id.TransferId;

/**
 * Asks a peer for a part of what it holds of a row.
 *
 * @param id the transfer that answers the request; a repeated request has the same one
 * @param row the row of the workspace or of the backend server
 * @param held units that the asking host holds
 * @param demand the demand at the asking host, in statements per second or connections
 * @param tokens statements for which the asking host has reserved room in its burst
 */
public record ShareRequest(TransferId id, TableRow row, long held, double demand, double tokens)
    implements PeerMessage {

  /** Checks that all parts are present. */
  public ShareRequest {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(row, "row");
  }
}

package org.persimmonwalk.model;

import java.util.Objects;
import org.persimmonwalk.id.TransferId;

/**
 * Asks a peer to transfer some of the units that it holds of a {@link GrantRow}.
 *
 * @param id the transfer that is to answer the request; a retry has the same id
 * @param row the row of the workspace or the backend server
 * @param held the number of units that the requesting host holds
 * @param demand the demand at the requesting host, in statements per second or connections
 * @param tokens the number of tokens for which the requesting host has reserved room in its burst;
 *     one token admits one statement
 */
public record ShareRequest(TransferId id, TableRow row, long held, double demand, double tokens)
    implements PeerMessage {

  /** Checks that all parts are present. */
  public ShareRequest {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(row, "row");
  }
}

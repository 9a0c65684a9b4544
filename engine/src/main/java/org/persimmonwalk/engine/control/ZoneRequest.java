package org.persimmonwalk.engine.control;

import java.util.List;
import java.util.Map;
import org.persimmonwalk.id.EntryHostId;

/**
 * A regular request of an entry host to the relay of its zone, answered by {@link ZoneReply}.
 *
 * @param from the requesting host
 * @param known the versions of the rows that the requesting host has
 * @param serversRevision the revision of the relay's server list that it has; 0 if none
 * @param urgent whether it waits for a change, such as a new primary
 * @param asks the tokens that it requests
 */
public record ZoneRequest(
    EntryHostId from,
    Map<RowKey, Long> known,
    long serversRevision,
    boolean urgent,
    List<TokenAsk> asks) {

  /** Makes the collections immutable. */
  public ZoneRequest {
    known = Map.copyOf(known);
    asks = List.copyOf(asks);
  }
}

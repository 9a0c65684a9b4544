package org.persimmonwalk.engine.control;

import java.util.List;
import java.util.Map;
import org.persimmonwalk.id.EntryHostId;

/**
 * What an entry host asks of the relay of its zone.
 *
 * @param known the versions of the rows that the asking host has
 * @param serversRevision the relay's list of servers that it has; 0 if none
 * @param urgent whether it waits for a change, such as a new primary
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

package org.persimmonwalk.engine.control;

import java.util.List;
import java.util.Map;
import org.persimmonwalk.id.EntryHostId;

/**
 * A regular request of an entry host to the relay of its zone, answered by {@link ZoneReply}.
 *
 * @param from the requesting host
 * @param era the newest era of the store that the requesting host knows
 * @param knownVersions the versions of the rows that the requesting host has
 * @param serverListRevision the revision of the relay's server list that it has; 0 if none
 * @param urgent whether it waits for a change, such as a new primary
 * @param tokenRequests the tokens that a host of an older build requests; others send {@link
 *     SendTokenRequests}
 * @param loads what the requesting host has seen of the servers that it used lately
 * @param restartNotices the servers of which the requesting host lost all connections lately
 */
public record ZoneRequest(
    EntryHostId from,
    StoreEra era,
    Map<RowKey, StoreVersion> knownVersions,
    long serverListRevision,
    boolean urgent,
    List<TokenRequest> tokenRequests,
    ServerLoadReport loads,
    List<RestartNotice> restartNotices) {

  /** Makes the collections immutable. */
  public ZoneRequest {
    knownVersions = Map.copyOf(knownVersions);
    tokenRequests = List.copyOf(tokenRequests);
    restartNotices = List.copyOf(restartNotices);
  }
}

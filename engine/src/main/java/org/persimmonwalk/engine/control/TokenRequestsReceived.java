package org.persimmonwalk.engine.control;

import java.util.List;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.EntryHostId;

/**
 * Token requests of another host have arrived; answered by {@link SendTokenReply}.
 *
 * @param exchangeId identifies the exchange, so that the transport can match the reply to it
 * @param restartNotices the servers that may have restarted lately according to another relay
 */
public record TokenRequestsReceived(
    long exchangeId,
    EntryHostId from,
    List<TokenRequest> requests,
    List<RestartNotice> restartNotices)
    implements Observation {

  /** Makes the lists immutable. */
  public TokenRequestsReceived {
    requests = List.copyOf(requests);
    restartNotices = List.copyOf(restartNotices);
  }
}

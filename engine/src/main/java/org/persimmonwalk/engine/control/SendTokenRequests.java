package org.persimmonwalk.engine.control;

import java.util.List;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.id.EntryHostId;

/**
 * Sends token requests to a lender, the relay of any zone; ends with {@link TokenRequestsEnded}.
 *
 * @param from the requesting host
 * @param restartNotices the servers that may have restarted lately, if the requesting host is a
 *     relay
 */
public record SendTokenRequests(
    RelayHost lender,
    EntryHostId from,
    List<TokenRequest> requests,
    List<RestartNotice> restartNotices)
    implements Command {

  /** Makes the lists immutable. */
  public SendTokenRequests {
    requests = List.copyOf(requests);
    restartNotices = List.copyOf(restartNotices);
  }
}

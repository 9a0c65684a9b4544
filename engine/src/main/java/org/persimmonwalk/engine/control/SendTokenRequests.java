package org.persimmonwalk.engine.control;

import java.util.List;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.id.EntryHostId;

/**
 * Sends token requests to a lender, the relay of any zone; ends with {@link TokenRequestsEnded}.
 *
 * @param from the requesting host
 */
public record SendTokenRequests(RelayHost lender, EntryHostId from, List<TokenRequest> requests)
    implements Command {

  /** Makes the list immutable. */
  public SendTokenRequests {
    requests = List.copyOf(requests);
  }
}

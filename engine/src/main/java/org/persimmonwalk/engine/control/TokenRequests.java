package org.persimmonwalk.engine.control;

import java.util.List;

/**
 * The tokens that this host requests from one lender.
 *
 * @param urgent whether operations wait for them
 */
public record TokenRequests(List<TokenRequest> requests, boolean urgent) {

  /** Makes the list immutable. */
  public TokenRequests {
    requests = List.copyOf(requests);
  }
}

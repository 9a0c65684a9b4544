package org.persimmonwalk.engine.control;

import java.util.List;

/**
 * The tokens that this host requests from the relay of its zone.
 *
 * @param urgent whether operations wait for them
 */
public record TokenRequests(List<TokenRequest> requests, boolean urgent) {

  /** No tokens are needed. */
  public static final TokenRequests NONE = new TokenRequests(List.of(), false);

  /** Makes the list immutable. */
  public TokenRequests {
    requests = List.copyOf(requests);
  }
}

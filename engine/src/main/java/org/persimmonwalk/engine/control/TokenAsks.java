package org.persimmonwalk.engine.control;

import java.util.List;

/**
 * The tokens that this host needs from the relay of its zone.
 *
 * @param urgent whether operations wait for them
 */
public record TokenAsks(List<TokenAsk> asks, boolean urgent) {

  /** Nothing is needed. */
  public static final TokenAsks NONE = new TokenAsks(List.of(), false);

  /** Makes the list immutable. */
  public TokenAsks {
    asks = List.copyOf(asks);
  }
}

package org.persimmonwalk.model;

/**
 * Instructs the admission policy to add tokens to, and remove tokens from, the token bucket of a
 * workspace. Each order is executed once.
 *
 * @param number increases with each order; an order whose number was already executed is ignored
 * @param deposit the number of tokens received from a peer, to be added
 * @param withdrawal the number of tokens to remove for a peer; fewer are removed if the bucket has
 *     fewer to spare
 */
public record TokenOrder(long number, double deposit, double withdrawal) {

  /** The value before the first order of a workspace. */
  public static final TokenOrder NONE = new TokenOrder(0, 0, 0);

  /** Returns an order with the given number. */
  public static TokenOrder of(long number, double deposit, double withdrawal) {
    return new TokenOrder(number, deposit, withdrawal);
  }
}

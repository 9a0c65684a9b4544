package org.persimmonwalk.model;

/**
 * Tells the admission policy to put tokens into or take tokens out of a workspace's bucket, once.
 *
 * @param number the number of the order; an order with a number that was carried out is void
 * @param deposit tokens that a peer gave up, to be added
 * @param withdrawal tokens to be taken out for a peer, or as many of them as there are to spare
 */
public record TokenOrder(long number, double deposit, double withdrawal) {

  /** The order of a workspace whose tokens have never been moved. */
  public static final TokenOrder NONE = new TokenOrder(0, 0, 0);

  /** Returns an order with the given number. */
  public static TokenOrder of(long number, double deposit, double withdrawal) {
    return new TokenOrder(number, deposit, withdrawal);
  }
}

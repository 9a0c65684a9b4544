package org.persimmonwalk.engine.control;

import java.util.List;

/**
 * A lender's reply to the token requests of a host.
 *
 * @param lends false if the replying host can't get tokens of any workspace of the requests: it has
 *     lost the store and refills no pool of them, is not the relay of its zone, or is about to stop
 * @param loans the tokens lent, one loan for each request; none if it is not the relay or is about
 *     to stop
 * @param restartNotices the servers that may have restarted lately
 */
public record TokenReply(boolean lends, List<TokenLoan> loans, List<RestartNotice> restartNotices) {

  /** Makes the lists immutable. */
  public TokenReply {
    loans = List.copyOf(loans);
    restartNotices = List.copyOf(restartNotices);
  }

  /** Creates a reply without notices. */
  public TokenReply(boolean lends, List<TokenLoan> loans) {
    this(lends, loans, List.of());
  }

  /** Returns the reply with the given notices. */
  public TokenReply withRestartNotices(List<RestartNotice> notices) {
    return new TokenReply(lends, loans, notices);
  }

  /** Returns whether the reply is that of a lender, which may still have tokens of its own. */
  public boolean isOfLender() {
    return lends || !loans.isEmpty();
  }

  /** Returns the reply of a host that can't lend. */
  public static TokenReply notLender() {
    return new TokenReply(false, List.of());
  }
}

package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Predicate;
import org.persimmonwalk.engine.control.TokenLoan;
import org.persimmonwalk.engine.control.TokenReply;
import org.persimmonwalk.engine.control.TokenRequest;
import org.persimmonwalk.engine.control.TokenRequestsReceived;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The token requests of other hosts that this host has not answered yet. A request for which
 * operations wait stays here while the lender takes tokens from the store, so that the requesting
 * host need not ask again and again.
 */
final class ReceivedTokenRequests {
  /** Two calls to the store, one to read the row and one to write it, mostly take less. */
  static final Duration LONGEST_WAIT = Duration.ofMillis(60);

  private final TokenStatistics statistics;
  private final Map<Long, Pending> pending = new LinkedHashMap<>();

  ReceivedTokenRequests(TokenStatistics statistics) {
    this.statistics = statistics;
  }

  void add(TokenRequestsReceived received, MonotonicTime now) {
    pending.put(received.exchangeId(), new Pending(received, now));
  }

  /** Returns whether a request waits for tokens. */
  boolean isWaiting() {
    return !pending.isEmpty();
  }

  /** Returns the reply of a host that can't lend to each request, by exchange id. */
  Map<Long, TokenReply> rejectAll() {
    Map<Long, TokenReply> replies = new HashMap<>();
    pending.keySet().forEach(id -> replies.put(id, TokenReply.notLender()));
    pending.clear();
    return replies;
  }

  /**
   * Lends what the requests ask for and returns the replies that are complete, by exchange id.
   *
   * @param lender lends tokens to a host
   * @param canGetTokens whether this host can get tokens of a workspace, so that waiting may help
   */
  Map<Long, TokenReply> answer(
      BiFunction<EntryHostId, TokenRequest, TokenLoan> lender,
      Predicate<WorkspaceId> canGetTokens,
      MonotonicTime now) {
    Map<Long, TokenReply> replies = new HashMap<>();
    for (Iterator<Map.Entry<Long, Pending>> i = pending.entrySet().iterator(); i.hasNext(); ) {
      Map.Entry<Long, Pending> entry = i.next();
      Pending request = entry.getValue();
      boolean mayWait = now.since(request.receivedAt).compareTo(LONGEST_WAIT) < 0;
      request.lend(lender, workspace -> mayWait && canGetTokens.test(workspace));
      if (request.unmet.isEmpty()) {
        i.remove();
        replies.put(entry.getKey(), new TokenReply(request.allowsAny(canGetTokens), request.loans));
      }
    }
    return replies;
  }

  /** The requests of one exchange. */
  private final class Pending {
    private final EntryHostId from;
    private final MonotonicTime receivedAt;
    private final List<TokenLoan> loans = new ArrayList<>();
    private List<TokenRequest> unmet;

    private Pending(TokenRequestsReceived received, MonotonicTime now) {
      this.from = received.from();
      this.receivedAt = now;
      this.unmet = received.requests();
    }

    /** Returns whether the condition holds for any workspace, or none is asked for. */
    private boolean allowsAny(Predicate<WorkspaceId> condition) {
      return loans.isEmpty() || loans.stream().map(TokenLoan::workspace).anyMatch(condition);
    }

    private void lend(
        BiFunction<EntryHostId, TokenRequest, TokenLoan> lender, Predicate<WorkspaceId> mayWait) {
      List<TokenRequest> stillUnmet = new ArrayList<>();
      for (TokenRequest request : unmet) {
        TokenLoan loan = lender.apply(from, request);
        boolean isMet = loan.tokens() > 0 || request.waiting() == 0;
        if (!isMet && !loan.scarce() && mayWait.test(request.workspace())) {
          stillUnmet.add(request);
          continue;
        }
        if (!isMet) {
          statistics.addUnmet(request.workspace());
        }
        loans.add(loan);
      }
      unmet = stillUnmet;
    }
  }
}

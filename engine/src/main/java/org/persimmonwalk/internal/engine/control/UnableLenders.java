package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.TokenReply;
import org.persimmonwalk.engine.control.TokenRequestsEnded;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The lenders that had no token of a workspace while they could get none. Another lender is asked
 * for this workspace meanwhile; tokens of other workspaces are still borrowed from them.
 *
 * <p>Answers the load of a store that is down: when such a lender was left out for all workspaces,
 * a single one without tokens kept hosts from the tokens of all others.
 */
final class UnableLenders {
  /** After this time, a little more than an exchange interval, the lender is asked again. */
  private static final Duration PAUSE = Duration.ofMillis(300);

  private final Map<Loan, MonotonicTime> unableUntil = new HashMap<>();

  void record(TokenRequestsEnded ended, MonotonicTime now) {
    unableUntil.values().removeIf(until -> !now.isBefore(until));
    RelayHost lender = ended.command().lender();
    ended
        .reply()
        .filter(reply -> !reply.lends())
        .map(TokenReply::loans)
        .ifPresent(
            loans ->
                loans.stream()
                    .filter(loan -> loan.tokens() == 0 && !loan.scarce())
                    .forEach(
                        loan ->
                            unableUntil.put(new Loan(loan.workspace(), lender), now.plus(PAUSE))));
  }

  boolean contains(WorkspaceId workspace, RelayHost lender, MonotonicTime now) {
    MonotonicTime until = unableUntil.get(new Loan(workspace, lender));
    return until != null && now.isBefore(until);
  }

  private record Loan(WorkspaceId workspace, RelayHost lender) {}
}

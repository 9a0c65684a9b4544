package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.persimmonwalk.engine.control.TokenAsk;
import org.persimmonwalk.engine.control.TokenLoan;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The tokens of one workspace that this host has taken from the store, for itself and, as the relay
 * of its zone, for the hosts that ask it. The tokens in the pool and those lent are all stated in
 * the workspace's row.
 */
final class TokenPool {
  /**
   * The pool and the hosts together hold tokens for the demand of so many seconds. Tokens are taken
   * about every second; what a relay holds that loses the store is lost to the others for 5.5 s.
   */
  private static final double SECONDS_HELD = 1.8;

  /** Tokens are taken anew when less than this part of the target is left. */
  private static final double LOW_PART = 0.8;

  /** A host that has not asked for so long has no sessions of the workspace any more. */
  private static final Duration PRESENCE = Duration.ofMillis(3000);

  /** The store is asked no more often while a host waits for a token. */
  static final Duration LEAST_PAUSE = Duration.ofMillis(60);

  /** The store is asked no more often while the workspace is over its limit. */
  static final Duration SCARCE_PAUSE = Duration.ofMillis(600);

  /**
   * Other hosts may spend a loan for this long after they asked. They ask every 250 ms, so four
   * questions may be lost; a relay that is restarted must wait as long before it takes the tokens
   * of its last process back.
   */
  static final Duration LOAN_VALID = Duration.ofMillis(1200);

  /** Holdings are renewed when they lapse this soon. */
  private static final Duration RENEW_BEFORE = Duration.ofMillis(1800);

  private final Map<EntryHostId, Loan> loans = new TreeMap<>();
  private long left;
  private long least;
  private long inherited;
  private boolean hasTaken;
  private boolean scarce;
  private boolean unmet;
  private MonotonicTime takenAt;
  private MonotonicTime validUntil;
  private MonotonicTime lastAsked;

  TokenPool(MonotonicTime now) {
    this.takenAt = now;
    this.validUntil = now;
    this.lastAsked = now.minus(SCARCE_PAUSE);
  }

  /**
   * Lends tokens to a host, as many as it wants while the pool has plenty.
   *
   * @param longest how long they may be spent at most
   */
  TokenLoan lend(
      EntryHostId host,
      TokenAsk ask,
      Duration longest,
      MonotonicTime now,
      MonotonicTime resumedAt) {
    Loan loan = loans.computeIfAbsent(host, unused -> new Loan());
    loan.hold(ask, now);
    boolean valid = now.isBefore(validUntil) && !takenAt.isBefore(resumedAt);
    long wanted = ask.wanted();
    long fair = left >= wanted * 2 ? wanted : Math.min(wanted, (left + 1) / 2);
    long lent = valid ? fair : 0;
    left -= lent;
    loan.add(lent);
    unmet |= lent == 0 && ask.held() == 0 && wanted > 0;
    Duration validity = valid ? validUntil.since(now) : Duration.ZERO;
    return new TokenLoan(
        ask.workspace(),
        lent,
        scarce && lent < wanted,
        valid && loan.isStated(),
        validity.compareTo(longest) < 0 ? validity : longest);
  }

  /**
   * Drops tokens that have lapsed and hosts that have not asked for long. While the machine was
   * suspended others may have taken over all its tokens.
   */
  void lapse(MonotonicTime now, MonotonicTime resumedAt) {
    if (!now.isBefore(validUntil) || takenAt.isBefore(resumedAt)) {
      left = 0;
    }
    if (takenAt.isBefore(resumedAt)) {
      loans.clear();
    }
    loans.values().removeIf(loan -> loan.hasLapsed(now));
  }

  /** Returns whether tokens can be lent. */
  boolean hasTokens() {
    return left > 0;
  }

  boolean mustAsk(MonotonicTime now) {
    boolean low = held() < Math.max(target(now), least) * LOW_PART || (unmet && left == 0);
    boolean ends = validUntil.since(now).compareTo(RENEW_BEFORE) < 0;
    return isActive(now) && (low || ends);
  }

  /** Returns whether a host waits for a token and another call may bring one. */
  boolean isUrgent(MonotonicTime now) {
    Duration pause = scarce ? SCARCE_PAUSE : LEAST_PAUSE;
    return unmet && left == 0 && isActive(now) && now.since(lastAsked).compareTo(pause) >= 0;
  }

  boolean isActive(MonotonicTime now) {
    return hosts(now) > 0;
  }

  /** Returns the hosts that have lately asked. */
  int hosts(MonotonicTime now) {
    return (int) loans.values().stream().filter(loan -> loan.isPresent(now)).count();
  }

  double demand(MonotonicTime now) {
    return loans.values().stream()
        .filter(loan -> loan.isPresent(now))
        .mapToDouble(loan -> loan.demand)
        .sum();
  }

  long held() {
    return left + loans.values().stream().mapToLong(loan -> loan.tokens).sum();
  }

  /** Returns the tokens that others may still spend which the last process here had lent. */
  long inherited() {
    return inherited;
  }

  /** Returns whether the row has stated no tokens of this process yet. */
  boolean isNew() {
    return !hasTaken;
  }

  void inherit(long tokens) {
    inherited = tokens;
  }

  /** Returns the tokens to have in all; each host with sessions should have one at least. */
  private long target(MonotonicTime now) {
    return (long) Math.ceil(demand(now) * SECONDS_HELD) + hosts(now);
  }

  /**
   * Returns the tokens to take.
   *
   * @param leastHeld the tokens to have in all even without demand
   */
  long wanted(long leastHeld, MonotonicTime now) {
    least = leastHeld;
    long missing = Math.max(target(now), least) - held();
    long forWaiting = unmet && left == 0 ? 1 + hosts(now) + Math.round(demand(now)) : 0;
    return Math.max(0, Math.max(missing, forWaiting));
  }

  MonotonicTime lastAsked() {
    return lastAsked;
  }

  /** Notes that the row is about to state all tokens held now. */
  void asking(MonotonicTime now) {
    lastAsked = now;
    loans.values().forEach(Loan::asking);
  }

  /** Notes that the row states the tokens held when it was written and those taken then. */
  void grant(long tokens, boolean tokensAreScarce, MonotonicTime startedAt, Duration validity) {
    left += tokens;
    hasTaken = true;
    scarce = tokensAreScarce;
    unmet = false;
    takenAt = startedAt;
    validUntil = startedAt.plus(validity);
    loans.values().forEach(Loan::stated);
  }

  /** The tokens of one host, as far as this host knows; it may have spent some of them. */
  private static final class Loan {
    private long tokens;
    private long stated;
    private long asking;
    private double demand;
    private MonotonicTime seenAt;

    /** Takes over what the host says that it holds; tokens of another pool are not stated. */
    private void hold(TokenAsk ask, MonotonicTime now) {
      tokens = ask.held();
      stated = Math.min(stated, tokens);
      demand = ask.demand();
      seenAt = now;
    }

    private void add(long lent) {
      tokens += lent;
      stated += lent;
    }

    private boolean isStated() {
      return stated == tokens;
    }

    private void asking() {
      asking = tokens - stated;
    }

    private void stated() {
      stated = Math.min(tokens, stated + asking);
      asking = 0;
    }

    private boolean isPresent(MonotonicTime now) {
      return now.since(seenAt).compareTo(PRESENCE) < 0;
    }

    private boolean hasLapsed(MonotonicTime now) {
      return now.since(seenAt).toMillis() > RateRow.VALID_MILLIS;
    }
  }
}

package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.TokenLoan;
import org.persimmonwalk.engine.control.TokenRequest;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The tokens of one workspace that this host has taken from the store, for itself and, as the relay
 * of its zone, for the hosts that request tokens from it. The rate row of the workspace records all
 * of them, those in the pool and those lent.
 */
final class TokenPool {
  /**
   * The pool and the hosts together hold tokens for this many seconds of demand. Tokens are taken
   * about every second; if a relay loses the store, nobody else can use its tokens for 5.5 s.
   */
  private static final double SECONDS_HELD = 1.8;

  /** Tokens are taken about this often, after each verification. */
  private static final double SECONDS_BETWEEN_CALLS = 1;

  /** Tokens are taken from the store when less than this part of the target is left. */
  private static final double REFILL_THRESHOLD = 0.8;

  /** A pool returns what it holds beyond this multiple of what it needs; demand varies. */
  private static final double EXCESS = 1.25;

  /** A host without a request for this long has no sessions of the workspace any more. */
  private static final Duration PRESENCE_TIMEOUT = Duration.ofMillis(3000);

  /** The minimum pause between two store calls while a host waits for a token. */
  static final Duration MIN_PAUSE = Duration.ofMillis(60);

  /** The minimum pause between two store calls while the workspace is over its limit. */
  static final Duration SCARCE_PAUSE = Duration.ofMillis(600);

  /**
   * How long other hosts may spend a loan, counted from their request. With 1.2 s all tokens of a
   * host expired between two replies when a relay took 600 ms to reply. A restarted relay must wait
   * as long before it takes back the tokens of its previous process.
   */
  static final Duration MAX_LOAN_DURATION = Duration.ofMillis(1800);

  /** How long tokens that were lent for waiting operations may be spent. */
  static final Duration SPENT_AT_ONCE_VALIDITY = Duration.ofMillis(300);

  /**
   * The lender of a workspace keeps tokens this long after the last request, so that an operation
   * now and then doesn't wait for the store.
   */
  private static final Duration LENDER_RETENTION = Duration.ofSeconds(30);

  /** Tokens are renewed this long before they expire. */
  private static final Duration RENEW_BEFORE = Duration.ofMillis(1800);

  private final Map<EntryHostId, Loan> loans = new TreeMap<>();
  private long available;
  private long returned;
  private long minimumHeld;
  private long inherited;
  private boolean hasTaken;
  private boolean isLender;
  private boolean scarce;
  private boolean hasUnmetRequest;
  private MonotonicTime takenAt;
  private MonotonicTime validUntil;
  private MonotonicTime lastStoreCallAt;
  private MonotonicTime lastRequestAt;

  TokenPool(MonotonicTime now) {
    this.lastRequestAt = now;
    this.takenAt = now;
    this.validUntil = now;
    this.lastStoreCallAt = now.minus(SCARCE_PAUSE);
  }

  /**
   * Lends tokens to a host: as many as it wants if the pool has at least twice as many, otherwise
   * at most half of the pool, rounded up. Tokens for operations that wait count as spent at once:
   * the lender may not hear of the host again, and they would count as held until they expire.
   *
   * @param maximumDuration the maximum time for which they may be spent
   */
  TokenLoan lend(
      EntryHostId host,
      TokenRequest request,
      Duration maximumDuration,
      MonotonicTime now,
      MonotonicTime resumedAt) {
    Loan loan = loans.computeIfAbsent(host, unused -> new Loan());
    loan.update(request, now);
    boolean valid = now.isBefore(validUntil) && !takenAt.isBefore(resumedAt);
    long wanted = request.wanted();
    long fair = available >= wanted * 2 ? wanted : Math.min(wanted, (available + 1) / 2);
    long lent = valid ? fair : 0;
    long spentAtOnce = request.held() == 0 ? Math.min(lent, request.waiting()) : 0;
    available -= lent;
    loan.add(lent - spentAtOnce);
    lastRequestAt = now;
    hasUnmetRequest |= lent == 0 && request.held() == 0 && wanted > 0;
    Duration longest = lent > 0 && lent == spentAtOnce ? SPENT_AT_ONCE_VALIDITY : maximumDuration;
    Duration validity = valid ? validUntil.since(now) : Duration.ZERO;
    return new TokenLoan(
        request.workspace(),
        lent,
        scarce && lent < wanted,
        valid && loan.isRecorded(),
        validity.compareTo(longest) < 0 ? validity : longest);
  }

  /**
   * Drops expired tokens and the loans of hosts without a recent request. After a suspension of the
   * machine drops everything, because others may have taken over all its tokens meanwhile. Returns
   * how many tokens of the pool expired.
   */
  long dropExpired(MonotonicTime now, MonotonicTime resumedAt) {
    long dropped = 0;
    if (!now.isBefore(validUntil) || takenAt.isBefore(resumedAt)) {
      dropped = available;
      available = 0;
      returned = 0;
    }
    if (takenAt.isBefore(resumedAt)) {
      loans.clear();
    }
    loans.values().removeIf(loan -> loan.hasExpired(now));
    return dropped;
  }

  /** Returns whether tokens can be lent. */
  boolean hasTokens() {
    return available > 0;
  }

  boolean needsTokens(MonotonicTime now) {
    boolean isLow =
        held() < Math.max(target(now), minimumHeld) * REFILL_THRESHOLD
            || (hasUnmetRequest && available == 0);
    boolean isExpiring = validUntil.since(now).compareTo(RENEW_BEFORE) < 0;
    return isActive(now) && (isLow || isExpiring);
  }

  /** Returns whether a host waits for a token and the pause between store calls is over. */
  boolean isUrgent(MonotonicTime now) {
    Duration pause = scarce ? SCARCE_PAUSE : MIN_PAUSE;
    return hasUnmetRequest
        && available == 0
        && isActive(now)
        && now.since(lastStoreCallAt).compareTo(pause) >= 0;
  }

  /** Sets whether this host is a lender of the workspace and not only stands in for one. */
  void setLender(boolean lender) {
    isLender = lender;
  }

  boolean isActive(MonotonicTime now) {
    return hosts(now) > 0 || (isLender && now.since(lastRequestAt).compareTo(LENDER_RETENTION) < 0);
  }

  /** Returns the number of hosts that have recently requested tokens. */
  int hosts(MonotonicTime now) {
    return (int) loans.values().stream().filter(loan -> loan.isActive(now)).count();
  }

  double demand(MonotonicTime now) {
    return loans.values().stream()
        .filter(loan -> loan.isActive(now))
        .mapToDouble(loan -> loan.demand)
        .sum();
  }

  long held() {
    return available + loans.values().stream().mapToLong(loan -> loan.tokens).sum();
  }

  /** Returns the tokens lent by the previous process of this host that may still be spent. */
  long inherited() {
    return inherited;
  }

  /** Returns whether the row has never recorded tokens taken by this process. */
  boolean isNew() {
    return !hasTaken;
  }

  void setInherited(long tokens) {
    inherited = tokens;
  }

  /**
   * Returns how many tokens to hold in total: for the demand, with one for each host that holds
   * some in advance, and at least for what the hosts want to hold, which is more while this host
   * replies slowly, and for the demand until the next call.
   */
  private long target(MonotonicTime now) {
    long holdingHosts = 0;
    long hostTargets = 0;
    for (Loan loan : loans.values()) {
      if (loan.isActive(now)) {
        holdingHosts += loan.target > 0 ? 1 : 0;
        hostTargets += loan.target;
      }
    }
    double demand = demand(now);
    return Math.max(
        (long) Math.ceil(demand * SECONDS_HELD) + holdingHosts,
        (long) Math.ceil(demand * SECONDS_BETWEEN_CALLS) + hostTargets);
  }

  /** Sets how many tokens to hold in total even without demand. */
  void setMinimumHeld(long tokens) {
    minimumHeld = tokens;
  }

  /**
   * Takes tokens out of the pool that are more than it needs, to be added to the bucket by the next
   * write. After a limit was lowered, the pools of some zones held more than the new capacity, and
   * others got none for seconds.
   */
  void returnExcess(MonotonicTime now) {
    long needed = (long) Math.ceil(Math.max(target(now), minimumHeld) * EXCESS);
    long excess = Math.max(0, Math.min(available, held() - needed));
    available -= excess;
    returned += excess;
  }

  /** Returns the tokens taken out of the pool that the row still records as held. */
  long returned() {
    return returned;
  }

  /** Called when a write may have returned them, or has. */
  void forgetReturned() {
    returned = 0;
  }

  /** Returns how many tokens to take from the store. */
  long wanted(MonotonicTime now) {
    long missing = Math.max(target(now), minimumHeld) - held();
    long forWaiting =
        hasUnmetRequest && available == 0 ? 1 + hosts(now) + Math.round(demand(now)) : 0;
    return Math.max(0, Math.max(missing, forWaiting));
  }

  MonotonicTime lastStoreCallAt() {
    return lastStoreCallAt;
  }

  /** Called before the row is written; the write records all tokens that are held now. */
  void startRecording(MonotonicTime now) {
    lastStoreCallAt = now;
    loans.values().forEach(Loan::startRecording);
  }

  /**
   * Called after the row was written. Adds the tokens taken; the row now records these and all that
   * were held at the time of the write.
   */
  void grant(long tokens, boolean tokensAreScarce, MonotonicTime startedAt, Duration validity) {
    available += tokens;
    returned = 0;
    hasTaken = true;
    scarce = tokensAreScarce;
    hasUnmetRequest = false;
    takenAt = startedAt;
    validUntil = startedAt.plus(validity);
    loans.values().forEach(Loan::confirmRecorded);
  }

  /**
   * The tokens of one host as last known here; it may have spent some of them since. {@code
   * recorded} counts those that the row records, {@code recording} those that a write in flight
   * adds.
   */
  private static final class Loan {
    private long tokens;
    private long recorded;
    private long recording;
    private double demand;
    private long target;
    private MonotonicTime lastRequestAt;

    /** Updates to what the host says it holds; the row doesn't record tokens from other pools. */
    private void update(TokenRequest request, MonotonicTime now) {
      tokens = request.held();
      recorded = Math.min(recorded, tokens);
      demand = request.demand();
      target = request.target();
      lastRequestAt = now;
    }

    private void add(long lent) {
      tokens += lent;
      recorded += lent;
    }

    private boolean isRecorded() {
      return recorded == tokens;
    }

    private void startRecording() {
      recording = tokens - recorded;
    }

    private void confirmRecorded() {
      recorded = Math.min(tokens, recorded + recording);
      recording = 0;
    }

    private boolean isActive(MonotonicTime now) {
      return now.since(lastRequestAt).compareTo(PRESENCE_TIMEOUT) < 0;
    }

    private boolean hasExpired(MonotonicTime now) {
      return now.since(lastRequestAt).toMillis() > EngineTimings.TOKEN_VALIDITY.toMillis();
    }
  }
}

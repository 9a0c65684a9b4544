package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import org.persimmonwalk.engine.control.TokenLoan;
import org.persimmonwalk.engine.control.TokenRequest;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.WorkspaceId;
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

  /**
   * Borrowed tokens are renewed about this often. With the time for calls to the store, relays held
   * all tokens of a workspace of 20 a second, most of which had been spent.
   */
  private static final double SECONDS_BETWEEN_LOANS = 0.5;

  /** Tokens are taken from the store when less than this part of the target is left. */
  private static final double REFILL_THRESHOLD = 0.8;

  /** A pool returns what it holds beyond this multiple of what it needs; demand varies. */
  private static final double EXCESS = 1.25;

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

  /**
   * How long tokens that were lent for waiting operations may be spent, counted from the request.
   * With 300 ms they had expired on arrival where replies took as long.
   */
  static final Duration SPENT_AT_ONCE_VALIDITY = Duration.ofMillis(1000);

  /** Tokens are renewed this long before they expire. */
  private static final Duration RENEW_BEFORE = Duration.ofMillis(1800);

  /**
   * A pool that borrows asks for more below this part of its target. A request between relays costs
   * far less than a call to the store.
   */
  private static final double LOAN_REFILL_THRESHOLD = 0.9;

  /**
   * Borrowed tokens are renewed this long before they expire, so that the hosts, which renew theirs
   * 0.7 s before, need not ask in each exchange.
   */
  private static final Duration RENEW_LOAN_BEFORE = Duration.ofMillis(1300);

  private final StockRule stock;
  private final HostLoans loans = new HostLoans();
  private final PoolRefill refill;
  private long available;
  private long returned;
  private boolean returnsStock;
  private boolean isBorrowed;
  private long minimumHeld;
  private BucketForecast bucket = BucketForecast.UNKNOWN;
  private long inherited;
  private boolean hasTaken;
  private boolean scarce;
  private boolean hasUnmetRequest;
  private MonotonicTime takenAt;
  private MonotonicTime loanRequestedAt;
  private MonotonicTime validUntil;
  private MonotonicTime lastStoreCallAt;

  TokenPool(MonotonicTime now) {
    this.stock = new StockRule(now);
    this.refill = new PoolRefill(now);
    this.takenAt = now;
    this.loanRequestedAt = now.minus(SCARCE_PAUSE);
    this.validUntil = now;
    this.lastStoreCallAt = now.minus(SCARCE_PAUSE);
  }

  /**
   * Lends tokens to a host: as many as it wants if the pool has at least twice as many, otherwise
   * at most half of the pool, rounded up. Tokens for operations that wait are valid for a short
   * time only, and count as held until then or until the next request: the lender may not hear of
   * the host again.
   *
   * @param maximumDuration the maximum time for which they may be spent
   */
  TokenLoan lend(
      EntryHostId host,
      TokenRequest request,
      Duration maximumDuration,
      MonotonicTime now,
      MonotonicTime resumedAt) {
    HostLoan loan = loans.update(host, request, now);
    boolean valid = now.isBefore(validUntil) && !takenAt.isBefore(resumedAt);
    long wanted = request.wanted();
    long fair = available >= wanted * 2 ? wanted : Math.min(wanted, (available + 1) / 2);
    long lent = valid ? fair : 0;
    long spentAtOnce = request.held() == 0 ? Math.min(lent, request.waiting()) : 0;
    available -= lent;
    loan.add(lent - spentAtOnce, spentAtOnce, now.plus(SPENT_AT_ONCE_VALIDITY));
    stock.recordRequest(now);
    boolean isShort = request.held() == 0 || request.waiting() > 0;
    hasUnmetRequest |= lent == 0 && isShort && wanted > 0;
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
      forgetReturned();
      refill.stop();
    }
    if (takenAt.isBefore(resumedAt)) {
      loans.clear();
    }
    loans.dropExpired(now);
    available += refill.credit(held(), now);
    return dropped;
  }

  /** Returns whether tokens can be lent. */
  boolean hasTokens() {
    return available > 0;
  }

  boolean needsTokens(MonotonicTime now) {
    boolean isLow = held() < stockTarget(now) * REFILL_THRESHOLD;
    boolean isExpiring = refill.isAgeing(now) || validUntil.since(now).compareTo(RENEW_BEFORE) < 0;
    return isActive(now) && (isExhausted() || (stock.isKept() && (isLow || isExpiring)));
  }

  /** Returns whether tokens of another lender are needed, which are valid for 1.8 s at most. */
  boolean needsLoan(Duration replyTime, MonotonicTime now) {
    boolean isLow =
        held() < loanTarget(now) * LOAN_REFILL_THRESHOLD || (hasUnmetRequest && available == 0);
    boolean isExpiring = validUntil.since(now).compareTo(RENEW_LOAN_BEFORE.plus(replyTime)) < 0;
    return isActive(now) && (isLow || isExpiring);
  }

  /** Returns how many borrowed tokens to hold in total. */
  private long loanTarget(MonotonicTime now) {
    long target = (long) Math.ceil(demand(now) * SECONDS_BETWEEN_LOANS) + loans.targets(now);
    return Math.max(target, minimumHeld);
  }

  /** Returns whether a host has asked for a token and the pool has none. */
  boolean isExhausted() {
    return hasUnmetRequest && available == 0;
  }

  /**
   * Returns the request to another lender for the tokens that this host lends on. Tokens for hosts
   * that wait count towards the target, as the lender must not count them as spent at once: they
   * are on their way for longer.
   */
  TokenRequest request(WorkspaceId workspace, MonotonicTime now) {
    loanRequestedAt = now;
    loans.startRecording();
    long held = held();
    long waiting = isExhausted() ? 1 : 0;
    long wanted =
        Math.max(loanTarget(now), held + (isExhausted() ? hosts(now) : 0))
            - (held > 0 ? waiting : 0);
    return new TokenRequest(workspace, held, demand(now), wanted, held > 0 ? waiting : 0, true);
  }

  /** Returns the tokens lent to other hosts that they may still spend. */
  long lentToOthers(EntryHostId self, MonotonicTime now) {
    return loans.spendableByOthers(self, now);
  }

  /** Returns whether a host waits for a token and the pause between store calls is over. */
  boolean isUrgent(MonotonicTime now) {
    Duration pause = scarce ? SCARCE_PAUSE : MIN_PAUSE;
    return isExhausted()
        && isActive(now)
        && bucket.hasTokens(held(), now.since(lastStoreCallAt))
        && now.since(lastStoreCallAt).compareTo(pause) >= 0;
  }

  /** Sets what the last write has left in the bucket. */
  void setBucket(BucketForecast forecast) {
    bucket = forecast;
  }

  /** Returns until when a call to the store brings no token. */
  MonotonicTime emptyUntil() {
    return lastStoreCallAt.plus(bucket.emptyFor(held()));
  }

  /** Returns what the pool adds itself. */
  PoolRefill refill() {
    return refill;
  }

  /** Sets whether this host is a lender of the workspace and not only stands in for one. */
  void setLender(boolean lender) {
    stock.setLender(lender);
  }

  boolean isActive(MonotonicTime now) {
    return hosts(now) > 0 || stock.isRetained(now);
  }

  /** Returns the number of hosts that have recently requested tokens. */
  int hosts(MonotonicTime now) {
    return loans.active(now);
  }

  double demand(MonotonicTime now) {
    return loans.demand(now);
  }

  long held() {
    return available + loans.held();
  }

  /** Returns the tokens in the pool and those lent that hosts may still spend. */
  long spendable(MonotonicTime now) {
    return available + loans.spendable(now);
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
    double demand = demand(now);
    return Math.max(
        (long) Math.ceil(demand * SECONDS_HELD) + loans.holdingInAdvance(now),
        (long) Math.ceil(demand * SECONDS_BETWEEN_CALLS) + loans.targets(now));
  }

  /** Returns how many tokens to hold in total, also without demand. */
  long stockTarget(MonotonicTime now) {
    return Math.max(target(now), minimumHeld);
  }

  /** Sets how many tokens to hold in total even without demand. */
  void setMinimumHeld(long tokens) {
    minimumHeld = stock.isLender() ? tokens : 0;
  }

  /**
   * Takes tokens out of the pool that are more than it needs, to be added to the bucket by the next
   * write. After a limit was lowered, the pools of some zones held more than the new capacity, and
   * others got none for seconds.
   */
  void returnExcess(MonotonicTime now) {
    long needed = (long) Math.ceil(stockTarget(now) * EXCESS);
    long excess = Math.max(0, Math.min(available, held() - needed));
    available -= excess;
    returned += excess;
  }

  /** Returns whether the pool has tokens that it has taken from the row. */
  boolean hasStock() {
    return hasTokens() && !isBorrowed;
  }

  /** Takes all tokens out of the pool, to be added to the bucket by the next write. */
  void returnStock() {
    returned += available;
    available = 0;
    returnsStock = true;
  }

  /** Returns the tokens taken out of the pool that the row still records as held. */
  long returned() {
    return returned;
  }

  /** Called when a write may have returned them, or has. */
  void forgetReturned() {
    returned = 0;
    returnsStock = false;
  }

  /** Returns how many tokens to take from the store. */
  long wanted(MonotonicTime now) {
    if (returnsStock) {
      return 0;
    }
    long missing = stock.isKept() ? stockTarget(now) - held() : 0;
    long soon = Math.round(demand(now)) + (stock.isKept() ? hosts(now) : 0);
    long forWaiting = isExhausted() ? 1 + soon : 0;
    return Math.max(0, Math.max(missing, forWaiting));
  }

  MonotonicTime lastStoreCallAt() {
    return lastStoreCallAt;
  }

  /** Called before the row is written; the write records all tokens that are held now. */
  void startRecording(MonotonicTime now) {
    lastStoreCallAt = now;
    loans.startRecording();
  }

  /**
   * Called after the row was written. Adds the tokens taken; the row now records these and all that
   * were held at the time of the write.
   */
  void grant(AcquisitionPlanner.Acquisition acquired, MonotonicTime startedAt, Duration validity) {
    available += acquired.tokens();
    isBorrowed = false;
    refill.begin(acquired.refillPerSecond(), acquired.mostHeld(), startedAt);
    forgetReturned();
    hasTaken = true;
    scarce = acquired.scarce();
    hasUnmetRequest = false;
    takenAt = startedAt;
    validUntil = startedAt.plus(validity);
    loans.confirmRecorded();
  }

  /**
   * Adds tokens that another lender has lent to this host. The validity of those held before is
   * extended only if the lender knew of all of them. A loan is dropped if the row was written, or
   * another request made, since its request: what is recorded of the tokens held would be mixed up.
   */
  void grantLoan(TokenLoan loan, MonotonicTime requestedAt, MonotonicTime now) {
    if (requestedAt.isBefore(loanRequestedAt) || !loanRequestedAt.isAfter(lastStoreCallAt)) {
      return;
    }
    MonotonicTime until = requestedAt.plus(loan.validFor());
    long usable = now.isBefore(until) ? loan.tokens() : 0;
    boolean holdsNoOthers = held() == 0 && usable > 0;
    if (loan.renews() || holdsNoOthers) {
      validUntil = until;
      takenAt = requestedAt;
    } else if (usable > 0 && until.isBefore(validUntil)) {
      validUntil = until;
    }
    if (loan.renews()) {
      loans.confirmRecorded();
    }
    refill.stop();
    scarce = loan.scarce();
    if (usable > 0) {
      available += usable;
      isBorrowed = true;
      hasUnmetRequest = false;
    }
  }

  /** Drops what exceeds the need by far; the lender takes the place of the dropped tokens. */
  void dropExcess(MonotonicTime now) {
    long needed = (long) Math.ceil(loanTarget(now) * EXCESS);
    available -= Math.max(0, Math.min(available, held() - needed));
  }
}

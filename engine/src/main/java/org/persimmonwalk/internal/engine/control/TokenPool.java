package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.persimmonwalk.engine.control.EngineTimings;
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

  /**
   * How long tokens that were lent for waiting operations may be spent, counted from the request.
   * With 300 ms they had expired on arrival where replies took as long.
   */
  static final Duration SPENT_AT_ONCE_VALIDITY = Duration.ofMillis(1000);

  /**
   * The lender of a workspace keeps tokens this long after the last request, so that an operation
   * now and then doesn't wait for the store.
   */
  private static final Duration LENDER_RETENTION = Duration.ofSeconds(30);

  /** A host whose lender is lost asks the one that stands in at least this often. */
  private static final Duration STAND_IN_GAP = Duration.ofMillis(1000);

  /** After requests for this long, a lender that stands in takes tokens in advance. */
  private static final Duration STAND_IN_DELAY = Duration.ofMillis(1000);

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

  private static final double NANOS_PER_SECOND = 1e9;

  private final Map<EntryHostId, Loan> loans = new TreeMap<>();
  private long available;
  private long returned;
  private long minimumHeld;
  private double bucket = Double.MAX_VALUE;
  private double bucketPerSecond;
  private double room = Double.MAX_VALUE;
  private long inherited;
  private boolean hasTaken;
  private boolean isLender;
  private boolean scarce;
  private boolean hasUnmetRequest;
  private MonotonicTime takenAt;
  private MonotonicTime loanRequestedAt;
  private MonotonicTime validUntil;
  private MonotonicTime lastStoreCallAt;
  private MonotonicTime lastRequestAt;
  private MonotonicTime requestedSince;

  TokenPool(MonotonicTime now) {
    this.lastRequestAt = now;
    this.requestedSince = now;
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
    Loan loan = loans.computeIfAbsent(host, unused -> new Loan());
    loan.update(request, now);
    boolean valid = now.isBefore(validUntil) && !takenAt.isBefore(resumedAt);
    long wanted = request.wanted();
    long fair = available >= wanted * 2 ? wanted : Math.min(wanted, (available + 1) / 2);
    long lent = valid ? fair : 0;
    long spentAtOnce = request.held() == 0 ? Math.min(lent, request.waiting()) : 0;
    available -= lent;
    loan.add(lent - spentAtOnce, spentAtOnce, now.plus(SPENT_AT_ONCE_VALIDITY));
    if (now.since(lastRequestAt).compareTo(STAND_IN_GAP) > 0) {
      requestedSince = now;
    }
    lastRequestAt = now;
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
      returned = 0;
    }
    if (takenAt.isBefore(resumedAt)) {
      loans.clear();
    }
    loans.values().forEach(loan -> loan.dropInTransit(now));
    loans.values().removeIf(loan -> loan.hasExpired(now));
    return dropped;
  }

  /** Returns whether tokens can be lent. */
  boolean hasTokens() {
    return available > 0;
  }

  boolean needsTokens(MonotonicTime now) {
    boolean isLow = held() < Math.max(target(now), minimumHeld) * REFILL_THRESHOLD;
    boolean isExpiring = validUntil.since(now).compareTo(RENEW_BEFORE) < 0;
    return isActive(now) && (isExhausted() || (isStocked(now) && (isLow || isExpiring)));
  }

  /** Returns whether tokens of another lender are needed, which are valid for 1.8 s at most. */
  boolean needsLoan(Duration replyTime, MonotonicTime now) {
    boolean isLow =
        held() < loanTarget(now) * LOAN_REFILL_THRESHOLD
            || (hasUnmetRequest && available == 0);
    boolean isExpiring =
        validUntil.since(now).compareTo(RENEW_LOAN_BEFORE.plus(replyTime)) < 0;
    return isActive(now) && (isLow || isExpiring);
  }

  /** Returns how many borrowed tokens to hold in total. */
  private long loanTarget(MonotonicTime now) {
    long hostTargets =
        loans.values().stream()
            .filter(loan -> loan.isActive(now))
            .mapToLong(loan -> loan.target)
            .sum();
    long target = (long) Math.ceil(demand(now) * SECONDS_BETWEEN_LOANS) + hostTargets;
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
    loans.values().forEach(Loan::startRecording);
    long held = held();
    long waiting = isExhausted() ? 1 : 0;
    long wanted = Math.max(loanTarget(now), held + (isExhausted() ? hosts(now) : 0)) - (held > 0 ? waiting : 0);
    return new TokenRequest(
        workspace, held, demand(now), wanted, held > 0 ? waiting : 0, true);
  }

  /** Returns the tokens lent to other hosts that they may still spend. */
  long lentToOthers(EntryHostId self, MonotonicTime now) {
    return spendableLoans(
        loans.entrySet().stream()
            .filter(entry -> !entry.getKey().equals(self))
            .map(Map.Entry::getValue),
        now);
  }

  /**
   * Returns whether the pool takes tokens in advance: that of the lender, and that of a host that
   * has stood in for it for a while. Hosts ask another lender also when theirs replies late once;
   * if that one kept tokens too, both would write the row from then on.
   */
  private boolean isStocked(MonotonicTime now) {
    return isLender || lastRequestAt.since(requestedSince).compareTo(STAND_IN_DELAY) >= 0;
  }

  /** Returns whether a host waits for a token and the pause between store calls is over. */
  boolean isUrgent(MonotonicTime now) {
    Duration pause = scarce ? SCARCE_PAUSE : MIN_PAUSE;
    return isExhausted()
        && isActive(now)
        && hasRowTokens(now)
        && now.since(lastStoreCallAt).compareTo(pause) >= 0;
  }

  /**
   * Returns whether a call to the store would bring a token, as far as is known: the bucket has been
   * refilled since, and the tokens held leave room for another one.
   */
  private boolean hasRowTokens(MonotonicTime now) {
    double elapsed = now.since(lastStoreCallAt).toNanos() / NANOS_PER_SECOND;
    return Math.min(bucket + bucketPerSecond * elapsed, room - held()) >= 1;
  }

  /**
   * Sets what the last write has left in the bucket.
   *
   * @param newRoom how many tokens this host may hold in total
   */
  void setBucket(double left, double perSecond, double newRoom) {
    bucket = left;
    bucketPerSecond = perSecond;
    room = newRoom;
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
    return available + loans.values().stream().mapToLong(Loan::held).sum();
  }

  /** Returns the tokens in the pool and those lent that hosts may still spend. */
  long spendable(MonotonicTime now) {
    return available + spendableLoans(loans.values().stream(), now);
  }

  private static long spendableLoans(Stream<Loan> loans, MonotonicTime now) {
    return loans
        .filter(loan -> now.since(loan.lastRequestAt).compareTo(MAX_LOAN_DURATION) <= 0)
        .mapToLong(Loan::held)
        .sum();
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
    minimumHeld = isLender ? tokens : 0;
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
    long missing = isStocked(now) ? Math.max(target(now), minimumHeld) - held() : 0;
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
      loans.values().forEach(Loan::confirmRecorded);
    }
    scarce = loan.scarce();
    if (usable > 0) {
      available += usable;
      hasUnmetRequest = false;
    }
  }

  /** Drops what exceeds the need by far; the lender takes the place of the dropped tokens. */
  void dropExcess(MonotonicTime now) {
    long needed = (long) Math.ceil(loanTarget(now) * EXCESS);
    available -= Math.max(0, Math.min(available, held() - needed));
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
    private long inTransit;
    private MonotonicTime inTransitUntil;
    private double demand;
    private long target;
    private MonotonicTime lastRequestAt;

    /** Updates to what the host says it holds; the row doesn't record tokens from other pools. */
    private void update(TokenRequest request, MonotonicTime now) {
      tokens = request.held();
      inTransit = 0;
      recorded = Math.min(recorded, tokens);
      demand = request.demand();
      target = request.target();
      lastRequestAt = now;
    }

    /**
     * Adds tokens lent. A host has at most one request under way, so its next one tells that those
     * for waiting operations have arrived and counts what is left of them.
     */
    private void add(long lent, long spentAtOnce, MonotonicTime spentBy) {
      tokens += lent;
      recorded += lent;
      if (spentAtOnce > 0) {
        inTransit += spentAtOnce;
        inTransitUntil = spentBy;
      }
    }

    private long held() {
      return tokens + inTransit;
    }

    private void dropInTransit(MonotonicTime now) {
      if (inTransit > 0 && !now.isBefore(inTransitUntil)) {
        inTransit = 0;
      }
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

package org.persimmonwalk.internal.engine.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/** Plans how many tokens a call takes from the rate row of a workspace, and the row after it. */
final class AcquisitionPlanner {
  /**
   * The part of the capacity that the holders of a workspace's tokens share equally even without
   * demand, so that first operations are admitted at once, even while the store is down. The rest
   * serves holders with more demand than others.
   */
  static final double RESERVED_PART = 0.4;

  /**
   * The largest part of the rate with which the holders refill their pools themselves. The rest
   * goes to the bucket, so that another lender finds tokens at once when one is lost.
   */
  static final double LARGEST_REFILL = 0.7;

  /**
   * A pool that holds tokens for this many seconds of demand lasts as long as a refill would, with
   * the second between two calls. It is not refilled, as what a full pool can't take is lost.
   */
  private static final double SECONDS_COVERED = 4;

  private final EngineSettings settings;
  private final DecisionLog log;
  private Optional<MonotonicTime> startedAt = Optional.empty();

  AcquisitionPlanner(EngineSettings settings, DecisionLog log) {
    this.settings = settings;
    this.log = log;
  }

  /** Records the start of the process when called for the first time. */
  void start(MonotonicTime now) {
    if (startedAt.isEmpty()) {
      startedAt = Optional.of(now);
    }
  }

  private RateRow row(
      Blackboard blackboard, WorkspaceId workspace, RateLimit limit, long storeMillis) {
    RowKey key = RateRow.key(workspace);
    StoredRow stored = KnownRows.row(blackboard, key);
    Optional<StoreEraRow> settled = StoreEraRow.of(blackboard).filter(StoreEraRow::isAfterReturn);
    if (settled.isEmpty() || RateRow.isOfItsEra(stored)) {
      // A store that doesn't tell its era may have come back without the row.
      return !stored.exists() && blackboard.get(EngineEntries.STORE_ERA).isKnown()
          ? RateRow.unused(limit, settings, storeMillis)
          : RateRow.parse(stored, limit, storeMillis);
    }
    StoredRow known = blackboard.get(EngineEntries.REMEMBERED_ROWS).newest(key, stored);
    return RateRow.afterReturn(known, settled.get().settledAtMillis(), storeMillis);
  }

  /** Plans to take what the pool lacks, and records what it holds. */
  Acquisition plan(
      Blackboard blackboard,
      WorkspaceId workspace,
      TokenPool pool,
      RateLimit limit,
      StoreTime time,
      MonotonicTime now) {
    pool.startRecording(now);
    long storeMillis = time.earliest(now);
    double capacity = RateRow.capacity(limit, settings);
    RateRow stored = row(blackboard, workspace, limit, storeMillis);
    if (stored.holdings().isEmpty()) {
      logIfUnreadable(blackboard, workspace, storeMillis);
    }
    updateInherited(pool, stored, now);
    RateRow refilled = stored.refilled(limit, settings, settings.host(), storeMillis);
    int activeHolders = 1 + refilled.activeHolders();
    pool.setMinimumHeld((long) (capacity * RESERVED_PART / activeHolders));
    pool.returnExcess(now);
    long held = pool.held() + pool.inherited();
    RateRow row = refilled.withReturned(pool.returned()).capped(capacity, held);
    long available = (long) Math.floor(row.tokens());
    long wanted = pool.wanted(now);
    double demand = pool.demand(now);
    double allDemand = row.demand(storeMillis) + demand;
    double share = allDemand > 0 ? demand / allDemand : 1.0 / activeHolders;
    long fair = available > wanted * 2 ? available : Math.max(1, (long) (available * share));
    long taken = Math.min(wanted, Math.min(available, fair));
    double byOthers = row.refillPerSecond(storeMillis);
    boolean needsRefill = held + taken < demand * SECONDS_COVERED;
    double refill =
        needsRefill && mayRefill(blackboard, stored, time.latest(now))
            ? refill(demand, share, limit, byOthers)
            : 0;
    long mostHeld = refill > 0 ? mostHeld(pool, row, capacity, taken, now) : pool.held() + taken;
    pool.refill().startRecording(refill, mostHeld - taken);
    // Tokens in stock or added within a second, here or at other holders, show that the demand is
    // not over the limit: the average demand is that of several seconds, and the limit may have
    // just been lowered.
    double soonHeld = row.heldByAll() + pool.spendable(now) + taken + refill + byOthers;
    boolean scarce =
        available < wanted && allDemand > limit.perSecond() && soonHeld <= limit.perSecond();
    RateRow after =
        row.taken(
            settings.host(),
            taken,
            new RateRow.Holding(
                mostHeld + pool.inherited(), time.latest(now), pool.hosts(now), demand, refill));
    return new Acquisition(taken, scarce, refill, mostHeld, after);
  }

  /** Returns the call that takes the tokens, on condition that the rows are those planned with. */
  RunTransaction transaction(
      Blackboard blackboard, TransactionTag tag, Map<WorkspaceId, Acquisition> acquisitions) {
    Map<RowKey, StoreVersion> expected =
        KnownRows.versionsOfTokenCall(
            blackboard, settings.zones(), blackboard.get(EngineEntries.RELAY_ROLE).isRelay());
    Map<RowKey, String> writes = new LinkedHashMap<>();
    acquisitions.forEach(
        (workspace, acquisition) -> {
          RowKey key = RateRow.key(workspace);
          expected.put(key, KnownRows.version(blackboard, key));
          writes.put(key, acquisition.row().text(blackboard.get(EngineEntries.STORE_ERA)));
        });
    return new RunTransaction(tag, expected, writes);
  }

  /**
   * Returns whether this host may refill its pool. Hosts that act for themselves do not, as many of
   * them would divide the rate by a demand that each sees alone. With a store that does not tell
   * its era, or a bucket that is not refilled yet, the row may lack holders that refill their
   * pools.
   */
  private static boolean mayRefill(Blackboard blackboard, RateRow stored, long latestMillis) {
    return blackboard.get(EngineEntries.RELAY_ROLE).isRelay()
        && blackboard.get(EngineEntries.STORE_ERA).isKnown()
        && stored.atMillis() <= latestMillis;
  }

  /**
   * Returns how many tokens a pool that is refilled may hold: its target, as far as the capacity
   * allows beside the bucket and the other holders.
   */
  private static long mostHeld(
      TokenPool pool, RateRow row, double capacity, long taken, MonotonicTime now) {
    double room = capacity - row.heldByAll() - (row.tokens() - taken) - pool.inherited();
    return Math.max(pool.held() + taken, Math.min(pool.stockTarget(now), (long) room));
  }

  /** Returns the part of the rate that the pool adds itself, in the precision of the row. */
  private static double refill(double demand, double share, RateLimit limit, double byOthers) {
    double largest = limit.perSecond() * LARGEST_REFILL;
    double refill = Math.min(demand, Math.min(largest * share, largest - byOthers));
    return RateRow.roundedDown(Math.max(0, refill));
  }

  /** Returns the tokens that a relay borrows in advance: an even part for each zone. */
  long minimumBorrowed(RateLimit limit) {
    return (long)
        (RateRow.capacity(limit, settings) * RESERVED_PART / (settings.zones().size() + 1));
  }

  /** Returns what the bucket holds after the row was written. */
  BucketForecast forecast(RateRow written, RateLimit limit) {
    // What others hold may expire before this host reads the row again.
    boolean isOnlyHolder = written.heldByOthers(settings.host()) == 0;
    double room = isOnlyHolder ? RateRow.capacity(limit, settings) : Double.MAX_VALUE;
    return written.forecast(limit, room);
  }

  private void logIfUnreadable(Blackboard blackboard, WorkspaceId workspace, long storeMillis) {
    StoredRow row = KnownRows.row(blackboard, RateRow.key(workspace));
    if (RateRow.isUnreadable(row, storeMillis)) {
      log.write("row-unreadable", "row", RateRow.key(workspace), "rowVersion", row.version());
    }
  }

  /**
   * Counts the tokens lent by the previous process of this host until its loans have expired, as
   * other hosts may still spend them.
   */
  private void updateInherited(TokenPool pool, RateRow stored, MonotonicTime now) {
    boolean hasStartedRecently =
        startedAt
            .filter(at -> now.since(at).compareTo(TokenPool.MAX_LOAN_DURATION) < 0)
            .isPresent();
    if (!hasStartedRecently) {
      pool.setInherited(0);
    } else if (pool.isNew()) {
      pool.setInherited(stored.tokensHeldBy(settings.host()));
    }
  }

  /**
   * The tokens to take and the row after the call.
   *
   * @param refillPerSecond the tokens per second that the pool adds itself
   * @param mostHeld the tokens that the row records for this process, up to which it may refill
   */
  record Acquisition(
      long tokens, boolean scarce, double refillPerSecond, long mostHeld, RateRow row) {}
}

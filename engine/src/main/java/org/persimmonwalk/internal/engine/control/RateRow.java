package org.persimmonwalk.internal.engine.control;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.WorkspaceId;

/**
 * The rate row of a workspace: a token bucket shared by all hosts. Tokens in the bucket plus tokens
 * held by hosts never exceed the capacity, so in any period the hosts together admit at most the
 * capacity plus the rate times the length of the period.
 *
 * @param tokens the tokens that no host holds
 * @param atMillis the store's time up to which the bucket was refilled
 * @param holdings the tokens that each holder may still spend, for itself and the hosts that it
 *     lends to
 */
record RateRow(double tokens, long atMillis, Map<EntryHostId, Holding> holdings) {
  /**
   * How long the demand of a holder counts, in milliseconds. A holder under load takes tokens about
   * once a second; once it stops, its successor reports the same demand, which would count twice.
   */
  private static final long DEMAND_VALID_MILLIS = 1500;

  /** Allowance for the rounding of clocks and for a host that is slow between check and use. */
  private static final long EXPIRY_SLACK_MILLIS = 500;

  /**
   * The part of the tolerated excess that is added to the burst to get the capacity, because tokens
   * held by idle hosts can't be used elsewhere. The rest allows for requests delayed on their way.
   */
  private static final double TOLERANCE_USED = 0.8;

  private static final double MILLIS_PER_SECOND = 1000.0;

  /** All tokens that holders of whom no row tells may add to their pools, in time of the rate. */
  private static final long UNKNOWN_REFILL_MILLIS =
      (long)
          (AcquisitionPlanner.LARGEST_REFILL
              * (PoolRefill.VALIDITY.toMillis() + EXPIRY_SLACK_MILLIS));

  private static final double TENTHS = 10.0;
  private static final String SEPARATOR = " ";
  private static final int HEADER_PARTS = 2;

  /** Starts the third part, the era of the store; a store that doesn't tell its era has none. */
  private static final String ERA_PREFIX = "@";

  private static final int HOLDING_PARTS = 5;

  /**
   * Separates the demand of a holder from its refill; a holder without refill has no second part.
   */
  private static final String REFILL_SEPARATOR = "/";

  /** No row that a host wrote has more tokens or demand; sums of this many can't overflow. */
  private static final double MAX_TOKENS = 1e12;

  private static final int MAX_HOSTS = 1_000_000;

  /**
   * How far the times of a row may be ahead of the store's time as this host knows it, which is old
   * during an outage. With a time further ahead the bucket would not be refilled until then.
   */
  private static final long MAX_LEAD_MILLIS = 3_600_000;

  /**
   * The tokens that a host holds, taken at the given time of the store.
   *
   * @param hosts the number of hosts that share them, the holder included
   * @param demand the operations per second that these hosts see
   * @param refillPerSecond the tokens per second that the holder adds itself, up to the tokens
   *     recorded here; the bucket is not refilled with them
   */
  record Holding(
      long tokens, long takenAtMillis, int hosts, double demand, double refillPerSecond) {
    /** Returns until when the holder may refill its pool, in milliseconds of the store's clock. */
    private long refillEndMillis() {
      return takenAtMillis + PoolRefill.VALIDITY.toMillis() + EXPIRY_SLACK_MILLIS;
    }

    private double refilledBetween(long fromMillis, long toMillis) {
      long elapsed = Math.max(0, Math.min(toMillis, refillEndMillis()) - fromMillis);
      return refillPerSecond * elapsed / MILLIS_PER_SECOND;
    }

    boolean hasExpired(long storeMillis) {
      return takenAtMillis + EngineTimings.TOKEN_VALIDITY.toMillis() + EXPIRY_SLACK_MILLIS
          < storeMillis;
    }
  }

  static RowKey key(WorkspaceId workspace) {
    return RowKey.ofName("rate", workspace.value());
  }

  /**
   * Parses the row. A row that doesn't exist is a bucket that holds the burst. One that can't be
   * read is an empty bucket: hosts may still hold up to the capacity, and with an empty bucket they
   * admit no more than the limit even so. They may also refill their pools for a while, so the
   * bucket is not refilled for as long as that takes.
   */
  static RateRow parse(StoredRow row, RateLimit limit, long storeMillis) {
    if (!row.exists()) {
      return new RateRow(limit.burst(), storeMillis, Map.of());
    }
    // Without an era no host refills its pool.
    long unknownRefill = row.version().era().isKnown() ? UNKNOWN_REFILL_MILLIS : 0;
    return read(row, storeMillis)
        .orElseGet(() -> new RateRow(0, storeMillis + unknownRefill, Map.of()));
  }

  /**
   * Returns the bucket of a workspace whose row nobody has written yet, so that no host holds
   * tokens of it. It is full: with the burst alone, small workspaces had fewer tokens than hosts in
   * the first seconds.
   */
  static RateRow unused(RateLimit limit, EngineSettings settings, long storeMillis) {
    return new RateRow(capacity(limit, settings), storeMillis, Map.of());
  }

  /**
   * Returns the bucket after the store came back from a copy, for a row that nobody has written
   * since. It was empty when the era was settled, because hosts may hold all the tokens that the
   * row of the copy still has; with an empty bucket they admit no more than the limit even so. They
   * may also refill their pools for a while, so the bucket is not refilled for as long as that
   * takes. The holdings are those that are known.
   *
   * @param known the newest content of the row that is known
   */
  static RateRow afterReturn(StoredRow known, long settledAtMillis, long storeMillis) {
    return new RateRow(
        0,
        settledAtMillis + UNKNOWN_REFILL_MILLIS,
        read(known, storeMillis).map(RateRow::holdings).orElse(Map.of()));
  }

  /** Returns whether the row was written in the era in which it was read. */
  static boolean isOfItsEra(StoredRow row) {
    String[] parts = row.value().split(SEPARATOR, HEADER_PARTS + 2);
    String era = parts.length > HEADER_PARTS ? parts[HEADER_PARTS] : "";
    return !row.version().era().isKnown() || era.equals(ERA_PREFIX + row.version().era());
  }

  /** Returns whether the row exists and can't be read. */
  static boolean isUnreadable(StoredRow row, long storeMillis) {
    return row.exists() && read(row, storeMillis).isEmpty();
  }

  private static Optional<RateRow> read(StoredRow row, long storeMillis) {
    try {
      return Optional.of(parse(row.value(), storeMillis));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /**
   * Parses the text of a row.
   *
   * @throws IllegalArgumentException if a part is missing, is not a number or is out of range
   */
  private static RateRow parse(String text, long storeMillis) {
    String[] parts = text.split(SEPARATOR);
    int header = HEADER_PARTS;
    if (parts.length > HEADER_PARTS && parts[HEADER_PARTS].startsWith(ERA_PREFIX)) {
      header++;
    }
    if (parts.length < header || (parts.length - header) % HOLDING_PARTS != 0) {
      throw new IllegalArgumentException("a rate row has " + parts.length + " parts");
    }
    Map<EntryHostId, Holding> holdings = new TreeMap<>();
    for (int i = header; i < parts.length; i += HOLDING_PARTS) {
      String[] rates = parts[i + 4].split(REFILL_SEPARATOR, 2);
      holdings.put(
          EntryHostId.ofExternal(parts[i]),
          new Holding(
              (long) inRange(Long.parseLong(parts[i + 1]), MAX_TOKENS),
              (long) inRange(Long.parseLong(parts[i + 2]), storeMillis + MAX_LEAD_MILLIS),
              (int) inRange(Integer.parseInt(parts[i + 3]), MAX_HOSTS),
              inRange(Double.parseDouble(rates[0]), MAX_TOKENS),
              rates.length > 1 ? inRange(Double.parseDouble(rates[1]), MAX_TOKENS) : 0));
    }
    return new RateRow(
        inRange(Double.parseDouble(parts[0]), Double.MAX_VALUE),
        (long) inRange(Long.parseLong(parts[1]), storeMillis + MAX_LEAD_MILLIS),
        holdings);
  }

  private static double inRange(double value, double maximum) {
    if (!(value >= 0 && value <= maximum)) {
      throw new IllegalArgumentException("a part of a rate row is out of range: " + value);
    }
    return value;
  }

  /** Returns the tokens that the row records for the given holder. */
  long tokensHeldBy(EntryHostId holder) {
    Holding holding = holdings.get(holder);
    return holding == null ? 0 : holding.tokens();
  }

  /** Returns the number of holders that take tokens from the row, or recently did. */
  int activeHolders() {
    return (int) holdings.values().stream().filter(holding -> holding.hosts() > 0).count();
  }

  /** Returns the sum of the operations per second that holders have recently recorded. */
  double demand(long storeMillis) {
    return holdings.values().stream()
        .filter(holding -> holding.takenAtMillis() + DEMAND_VALID_MILLIS > storeMillis)
        .mapToDouble(Holding::demand)
        .sum();
  }

  /** Returns the tokens per second that holders add to their pools themselves. */
  double refillPerSecond(long storeMillis) {
    return holdings.values().stream()
        .filter(holding -> storeMillis < holding.refillEndMillis())
        .mapToDouble(Holding::refillPerSecond)
        .sum();
  }

  /** Returns what a holder that has just written the row can expect of the bucket. */
  BucketForecast forecast(RateLimit limit, double room) {
    double byHolders = holdings.values().stream().mapToDouble(Holding::refillPerSecond).sum();
    return new BucketForecast(tokens, Math.max(0, limit.perSecond() - byHolders), room);
  }

  /** Returns the value in the precision in which rows keep rates. */
  static double roundedDown(double perSecond) {
    return Math.floor(perSecond * TENTHS) / TENTHS;
  }

  /** Returns how many tokens may exist at once, in the bucket and held by hosts together. */
  static double capacity(RateLimit limit, EngineSettings settings) {
    double window = limit.perSecond() * settings.rateWindow().toMillis() / MILLIS_PER_SECOND;
    double tolerated = (window + limit.burst()) * settings.rateOverage() + settings.rateSlack();
    return limit.burst() + tolerated * TOLERANCE_USED;
  }

  /**
   * Refills the bucket up to the given time. Drops the expired holdings, and that of the given
   * holder, which records it anew.
   */
  RateRow refilled(RateLimit limit, EngineSettings settings, EntryHostId self, long storeMillis) {
    Map<EntryHostId, Holding> valid = new TreeMap<>(holdings);
    valid.remove(self);
    valid.values().removeIf(holding -> holding.hasExpired(storeMillis));
    long elapsed = Math.max(0, storeMillis - atMillis);
    double byHolders =
        holdings.values().stream()
            .mapToDouble(holding -> holding.refilledBetween(atMillis, storeMillis))
            .sum();
    double refilled = limit.perSecond() * elapsed / MILLIS_PER_SECOND - byHolders;
    double filled = tokens + Math.max(0, refilled);
    return new RateRow(filled, Math.max(atMillis, storeMillis), valid)
        .capped(capacity(limit, settings), 0);
  }

  /** Limits the bucket so that it fits into the capacity together with all tokens held by hosts. */
  RateRow capped(double capacity, long own) {
    return new RateRow(
        Math.max(0, Math.min(tokens, capacity - heldByAll() - own)), atMillis, holdings);
  }

  /** Returns the sum of the tokens that holders have recorded. */
  long heldByAll() {
    return holdings.values().stream().mapToLong(Holding::tokens).sum();
  }

  /** Returns the sum of the tokens that holders other than the given one have recorded. */
  long heldByOthers(EntryHostId self) {
    return heldByAll() - tokensHeldBy(self);
  }

  /** Returns the row with tokens that a holder gives back. */
  RateRow withReturned(long returned) {
    return new RateRow(tokens + returned, atMillis, holdings);
  }

  /** Returns the row after a holder has taken further tokens. */
  RateRow taken(EntryHostId holder, long taken, Holding after) {
    Map<EntryHostId, Holding> changed = new TreeMap<>(holdings);
    if (after.tokens() > 0 || after.hosts() > 0) {
      changed.put(holder, after);
    }
    return new RateRow(tokens - taken, atMillis, changed);
  }

  /** Returns the form that is stored in the given era. */
  String text(StoreEra era) {
    StringBuilder text = new StringBuilder();
    text.append(Math.round(tokens * MILLIS_PER_SECOND) / MILLIS_PER_SECOND);
    text.append(SEPARATOR).append(atMillis);
    if (era.isKnown()) {
      text.append(SEPARATOR).append(ERA_PREFIX).append(era);
    }
    holdings.forEach(
        (host, holding) ->
            text.append(SEPARATOR)
                .append(host)
                .append(SEPARATOR)
                .append(holding.tokens())
                .append(SEPARATOR)
                .append(holding.takenAtMillis())
                .append(SEPARATOR)
                .append(holding.hosts())
                .append(SEPARATOR)
                .append(Math.round(holding.demand() * TENTHS) / TENTHS)
                .append(holding.refillPerSecond() > 0 ? REFILL_SEPARATOR : "")
                .append(holding.refillPerSecond() > 0 ? holding.refillPerSecond() : ""));
    return text.toString();
  }
}

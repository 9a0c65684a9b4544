package org.persimmonwalk.internal.engine.control;

import java.util.Map;
import java.util.TreeMap;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.WorkspaceId;

/**
 * The token bucket of a workspace, shared by all hosts. Tokens in the bucket plus tokens held by
 * hosts never exceed the capacity, so in any span the hosts together admit at most the capacity
 * plus the rate times the span.
 *
 * @param tokens the tokens that no host holds
 * @param atMillis the store's time up to which the bucket was refilled
 * @param holdings the tokens that each host may still spend
 */
record RateRow(double tokens, long atMillis, Map<EntryHostId, Holding> holdings) {
  /** A host spends tokens only for this long after it took them, in milliseconds. */
  static final long VALID_MILLIS = 5000;

  /**
   * A holder under load takes tokens about once a second. The demand of one that has stopped doing
   * so is seen by its successor, and would count twice.
   */
  private static final long DEMAND_VALID_MILLIS = 1500;

  /** Slack for the rounding of clocks and for a host that is slow between its check and its act. */
  private static final long LAPSE_SLACK_MILLIS = 500;

  /**
   * The part of the tolerated excess that the bucket may hold beyond the burst, as the tokens held
   * by idle hosts are not at hand elsewhere; the rest is kept for requests delayed on their way.
   */
  private static final double TOLERANCE_USED = 0.8;

  private static final double MILLIS_PER_SECOND = 1000.0;
  private static final double TENTHS = 10.0;
  private static final String SEPARATOR = " ";
  private static final int HEADER_PARTS = 2;
  private static final int HOLDING_PARTS = 5;

  /**
   * Tokens that a host holds since the given time of the store.
   *
   * @param hosts the hosts among which it shares them, itself included
   * @param demand the operations per second that these hosts see
   */
  record Holding(long tokens, long takenAtMillis, int hosts, double demand) {
    boolean hasLapsed(long storeMillis) {
      return takenAtMillis + VALID_MILLIS + LAPSE_SLACK_MILLIS < storeMillis;
    }
  }

  static RowKey key(WorkspaceId workspace) {
    return RowKey.of("rate", workspace.value());
  }

  /** Reads the row; a row that does not exist is a bucket that holds the burst. */
  static RateRow parse(String text, RateLimit limit, long storeMillis) {
    String[] parts = text.split(SEPARATOR);
    if (parts.length < HEADER_PARTS) {
      return new RateRow(limit.burst(), storeMillis, Map.of());
    }
    Map<EntryHostId, Holding> holdings = new TreeMap<>();
    for (int i = HEADER_PARTS; i + HOLDING_PARTS <= parts.length; i += HOLDING_PARTS) {
      holdings.put(
          EntryHostId.of(parts[i]),
          new Holding(
              Long.parseLong(parts[i + 1]),
              Long.parseLong(parts[i + 2]),
              Integer.parseInt(parts[i + 3]),
              Double.parseDouble(parts[i + 4])));
    }
    return new RateRow(Double.parseDouble(parts[0]), Long.parseLong(parts[1]), holdings);
  }

  /** Returns the tokens that the given holder has stated. */
  long tokensOf(EntryHostId holder) {
    Holding holding = holdings.get(holder);
    return holding == null ? 0 : holding.tokens();
  }

  /** Returns the number of holders that take tokens from the row, or lately did. */
  int takers() {
    return (int) holdings.values().stream().filter(holding -> holding.hosts() > 0).count();
  }

  /** Returns the operations per second that the holders see which have stated them lately. */
  double demand(long storeMillis) {
    return holdings.values().stream()
        .filter(holding -> holding.takenAtMillis() + DEMAND_VALID_MILLIS > storeMillis)
        .mapToDouble(Holding::demand)
        .sum();
  }

  /** Returns the number of hosts that spend tokens of the row, or lately did. */
  int hosts() {
    return holdings.values().stream().mapToInt(Holding::hosts).sum();
  }

  /** Returns the tokens that may exist at once, held or not. */
  static double capacity(RateLimit limit, EngineSettings settings) {
    double window = limit.perSecond() * settings.rateWindow().toMillis() / MILLIS_PER_SECOND;
    double tolerated = (window + limit.burst()) * settings.rateOverage() + settings.rateSlack();
    return limit.burst() + tolerated * TOLERANCE_USED;
  }

  /**
   * Refills the bucket up to the given time and drops holdings that can be spent no more and that
   * of the given holder, which states it anew.
   */
  RateRow refilled(RateLimit limit, EngineSettings settings, EntryHostId self, long storeMillis) {
    Map<EntryHostId, Holding> valid = new TreeMap<>(holdings);
    valid.remove(self);
    valid.values().removeIf(holding -> holding.hasLapsed(storeMillis));
    long elapsed = Math.max(0, storeMillis - atMillis);
    double filled = tokens + limit.perSecond() * elapsed / MILLIS_PER_SECOND;
    return new RateRow(filled, Math.max(atMillis, storeMillis), valid)
        .capped(capacity(limit, settings), 0);
  }

  /** Caps the bucket so that the tokens of this host fit besides those of the others. */
  RateRow capped(double capacity, long own) {
    long held = holdings.values().stream().mapToLong(Holding::tokens).sum() + own;
    return new RateRow(Math.max(0, Math.min(tokens, capacity - held)), atMillis, holdings);
  }

  /** Returns the row after a holder took tokens in addition to those that it holds. */
  RateRow taken(EntryHostId holder, long taken, Holding after) {
    Map<EntryHostId, Holding> changed = new TreeMap<>(holdings);
    if (after.tokens() > 0 || after.hosts() > 0) {
      changed.put(holder, after);
    }
    return new RateRow(tokens - taken, atMillis, changed);
  }

  String text() {
    StringBuilder text = new StringBuilder();
    text.append(Math.round(tokens * MILLIS_PER_SECOND) / MILLIS_PER_SECOND);
    text.append(SEPARATOR).append(atMillis);
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
                .append(Math.round(holding.demand() * TENTHS) / TENTHS));
    return text.toString();
  }
}

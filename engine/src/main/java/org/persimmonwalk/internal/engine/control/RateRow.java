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

  /** Slack for the rounding of clocks and for a host that is slow between its check and its act. */
  private static final long LAPSE_SLACK_MILLIS = 500;

  /**
   * The part of the tolerated excess that the bucket may hold beyond the burst, as the tokens held
   * by idle hosts are not at hand elsewhere; the rest is kept for requests delayed on their way.
   */
  private static final double TOLERANCE_USED = 0.8;

  private static final double MILLIS_PER_SECOND = 1000.0;
  private static final String SEPARATOR = " ";

  /** Tokens that a host holds since the given time of the store. */
  record Holding(long tokens, long takenAtMillis) {
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
    if (parts.length < 2) {
      return new RateRow(limit.burst(), storeMillis, Map.of());
    }
    Map<EntryHostId, Holding> holdings = new TreeMap<>();
    for (int i = 2; i + 2 < parts.length; i += 3) {
      holdings.put(
          EntryHostId.of(parts[i]),
          new Holding(Long.parseLong(parts[i + 1]), Long.parseLong(parts[i + 2])));
    }
    return new RateRow(Double.parseDouble(parts[0]), Long.parseLong(parts[1]), holdings);
  }

  /** Returns the number of hosts that hold tokens or lately held some. */
  static int holders(String text) {
    return Math.max(0, (text.split(SEPARATOR).length - 2) / 3);
  }

  /** Returns the tokens that may exist at once, held or not. */
  static double capacity(RateLimit limit, EngineSettings settings) {
    double window = limit.perSecond() * settings.rateWindow().toMillis() / MILLIS_PER_SECOND;
    double tolerated = (window + limit.burst()) * settings.rateOverage() + settings.rateSlack();
    return limit.burst() + tolerated * TOLERANCE_USED;
  }

  /** Refills the bucket up to the given time and drops holdings that can be spent no more. */
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

  /** Returns the row after this host took tokens in addition to those that it holds. */
  RateRow taken(EntryHostId self, long taken, long held, long takenAtMillis) {
    Map<EntryHostId, Holding> changed = new TreeMap<>(holdings);
    if (held + taken > 0) {
      changed.put(self, new Holding(held + taken, takenAtMillis));
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
                .append(holding.takenAtMillis()));
    return text.toString();
  }
}

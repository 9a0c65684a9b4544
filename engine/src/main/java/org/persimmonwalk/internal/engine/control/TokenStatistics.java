package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Counts what happens to rate tokens at this host and logs the sums regularly, so that the cause of
 * a refusal for want of a token can be told: tokens that lapse unused, conflicts at the rate rows,
 * requests that a lender could not meet, or demand beyond the limit.
 */
final class TokenStatistics {
  /** One line every few seconds is enough to place a shortage and bounds the volume. */
  static final Duration INTERVAL = Duration.ofSeconds(5);

  private final DecisionLog log;
  private final Map<Count, Long> sums = new EnumMap<>(Count.class);
  private final Map<WorkspaceId, Long> unmet = new HashMap<>();
  private Optional<MonotonicTime> startedAt = Optional.empty();
  private MonotonicTime writtenAt;
  private boolean hasGranted;

  TokenStatistics(DecisionLog log) {
    this.log = log;
  }

  /** What is counted, in tokens unless it says otherwise. */
  enum Count {
    /** Calls to the store that were to take tokens. */
    CALLS("calls"),
    /** Calls that another host's write of the same rows made fail. */
    CONFLICTS("conflicts"),
    /** Series of conflicts after which the host gave up until the next verification. */
    ABANDONED("abandoned"),
    /** Taken from the store. */
    TAKEN("taken"),
    /** Borrowed by the pools of this host from the relay of another zone. */
    BORROWED("borrowed"),
    /** Lent to hosts, this one included. */
    LENT("lent"),
    /** Requests of hosts without a token that got none. */
    UNMET("unmet"),
    /** Expired in the pools of this host. */
    POOL_LAPSED("poolLapsed"),
    /** Granted to the sessions of this host. */
    GRANTED("granted"),
    /** Expired before the sessions of this host spent them. */
    LAPSED("lapsed");

    private final String field;

    Count(String field) {
      this.field = field;
    }
  }

  void add(Count count, long amount) {
    if (amount > 0) {
      sums.merge(count, amount, Long::sum);
    }
  }

  void addUnmet(WorkspaceId workspace) {
    add(Count.UNMET, 1);
    unmet.merge(workspace, 1L, Long::sum);
  }

  /** Counts tokens granted to the sessions; the first after the start of the process are logged. */
  void addGranted(long tokens, MonotonicTime now) {
    add(Count.GRANTED, tokens);
    if (tokens > 0 && !hasGranted) {
      hasGranted = true;
      log.write(
          "tokens-first-granted", "sinceStartMs", now.since(startedAt.orElse(now)).toMillis());
    }
  }

  /** Returns when the next line is due. */
  MonotonicTime nextLineAt() {
    return writtenAt.plus(INTERVAL);
  }

  /** Writes the sums since the last line; nothing if they are all 0. */
  void writeIfDue(MonotonicTime now) {
    if (startedAt.isEmpty()) {
      startedAt = Optional.of(now);
      writtenAt = now;
    }
    Duration elapsed = now.since(writtenAt);
    if (elapsed.compareTo(INTERVAL) < 0) {
      return;
    }
    writtenAt = now;
    if (sums.isEmpty()) {
      return;
    }
    List<Object> fields = new ArrayList<>(List.of("overMs", elapsed.toMillis()));
    sums.forEach((count, sum) -> fields.addAll(List.of(count.field, sum)));
    Optional<Map.Entry<WorkspaceId, Long>> worst =
        unmet.entrySet().stream().max(Map.Entry.comparingByValue(Comparator.naturalOrder()));
    worst.ifPresent(
        entry ->
            fields.addAll(
                List.of("mostUnmet", entry.getKey(), "mostUnmetCount", entry.getValue())));
    log.write("tokens-summary", fields.toArray());
    sums.clear();
    unmet.clear();
  }
}

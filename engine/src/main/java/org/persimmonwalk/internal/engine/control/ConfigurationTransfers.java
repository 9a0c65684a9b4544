package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The verifications whose answers bring a large configuration and are still arriving. While there
 * is one, the other verifications leave the configuration out: each of their answers would bring it
 * again, and together they would take longer.
 */
final class ConfigurationTransfers {
  /** Covers an answer that is lost inside this process; each call has its own timeout. */
  static final Duration LOST_ANSWER_TIMEOUT = Duration.ofSeconds(20);

  private final Map<TransactionTag, MonotonicTime> startedAt = new HashMap<>();
  private boolean bringsUnchangedRows;

  /** Returns whether a configuration is arriving. */
  boolean isActive(MonotonicTime now) {
    startedAt.values().removeIf(at -> now.since(at).compareTo(LOST_ANSWER_TIMEOUT) > 0);
    return !startedAt.isEmpty();
  }

  /** Records that the answer to a verification has begun to arrive. */
  void start(TransactionTag tag, MonotonicTime now) {
    startedAt.put(tag, now);
  }

  /** Records the end of a transaction; returns whether its answer was arriving. */
  boolean end(TransactionAnswered answer) {
    boolean wasArriving = startedAt.remove(answer.transaction().tag()) != null;
    StoredRow received = answer.rows().get(RowKey.CONFIGURATION);
    if (wasArriving && received != null) {
      bringsUnchangedRows |=
          received.version().equals(answer.transaction().expected().get(RowKey.CONFIGURATION));
    }
    return wasArriving;
  }

  /**
   * Returns whether the store sends a large configuration that has not changed as soon as any other
   * row has. Verifications then leave out the rows that change each second.
   */
  boolean bringsUnchangedRows() {
    return bringsUnchangedRows;
  }

  /** Gives up all answers, as after a return of the store they are of an earlier era. */
  void clear() {
    startedAt.clear();
  }
}

package org.persimmonwalk.blackboard;

import java.util.Map;
import org.persimmonwalk.model.MonotonicTime;

/**
 * An immutable copy of the blackboard at the end of a round; safe to read on any thread.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Configuration configuration = snapshot.get(Entries.CONFIGURATION);
 * }</pre>
 */
public final class Snapshot {
  private final long round;
  private final MonotonicTime roundStartedAt;
  private final Map<EntryKey<?>, Object> values;

  private Snapshot(long round, MonotonicTime roundStartedAt, Map<EntryKey<?>, Object> values) {
    this.round = round;
    this.roundStartedAt = roundStartedAt;
    this.values = values;
  }

  /** Returns a snapshot of the values, which must be immutable. */
  static Snapshot of(long round, MonotonicTime roundStartedAt, Map<EntryKey<?>, Object> values) {
    return new Snapshot(round, roundStartedAt, values);
  }

  /** Returns the value of an entry. */
  @SuppressWarnings("unchecked")
  public <T> T get(EntryKey<T> key) {
    Object value = values.get(key);
    return value == null ? key.initialValue() : (T) value;
  }

  /** Returns the number of the round that ended with this copy; the first round has number 1. */
  public long round() {
    return round;
  }

  /** Returns the time of the round, which was read when the round began. */
  public MonotonicTime roundStartedAt() {
    return roundStartedAt;
  }
}

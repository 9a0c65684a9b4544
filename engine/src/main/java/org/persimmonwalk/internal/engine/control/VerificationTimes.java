package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.model.MonotonicTime;

/** Writes the entries that tell until when a verification counts, and for what. */
final class VerificationTimes {

  /** The hosts behind a relay know less exactly when it sent its verification. */
  private static final Duration RELAYED_TIME_MARGIN = Duration.ofMillis(100);

  private VerificationTimes() {}

  static void updateStoreTime(Blackboard blackboard, StoreTime time) {
    Optional<StoreTime> newest = blackboard.get(EngineEntries.STORE_TIME);
    if (newest.isEmpty() || newest.get().sentAt().isBefore(time.sentAt())) {
      blackboard.put(EngineEntries.STORE_TIME, Optional.of(time));
    }
  }

  static void updateVerifiedAt(Blackboard blackboard, MonotonicTime sentAt) {
    Optional<MonotonicTime> verified = blackboard.get(EngineEntries.VERIFIED_AT);
    if (verified.isEmpty() || verified.get().isBefore(sentAt)) {
      blackboard.put(EngineEntries.VERIFIED_AT, Optional.of(sentAt));
      blackboard.put(
          EngineEntries.VERIFIED_GROUPS,
          blackboard.get(EngineEntries.CONFIGURATION).groups().keySet());
    }
  }

  /** A verification without the configuration vouches for no key: it may have been withdrawn. */
  static void updateConfigurationVerifiedAt(Blackboard blackboard, MonotonicTime sentAt) {
    Optional<MonotonicTime> verified = blackboard.get(EngineEntries.CONFIGURATION_VERIFIED_AT);
    if (verified.isEmpty() || verified.get().isBefore(sentAt)) {
      blackboard.put(EngineEntries.CONFIGURATION_VERIFIED_AT, Optional.of(sentAt));
      if (vouchesForKeys(blackboard, sentAt)) {
        blackboard.put(EngineEntries.KEYS_VERIFIED_AT, Optional.of(sentAt));
      }
    }
  }

  /**
   * Returns whether no newer configuration can have been lost: the store has not come back from a
   * copy, that was long enough ago, or the operator has written since.
   */
  private static boolean vouchesForKeys(Blackboard blackboard, MonotonicTime sentAt) {
    if (!blackboard.get(EngineEntries.STORE_ERA).isKnown() || StoreEraRow.isFirstUse(blackboard)) {
      return true;
    }
    Optional<StoreEraRow> settled =
        StoreEraRow.of(blackboard).filter(row -> StoreEraRow.isSettled(blackboard));
    if (settled.isEmpty()) {
      return false;
    }
    boolean isRewritten =
        KnownRows.version(blackboard, RowKey.CONFIGURATION)
                .compareTo(KnownRows.version(blackboard, StoreEraRow.ROW))
            > 0;
    return !settled.get().isAfterReturn()
        || isRewritten
        || blackboard
            .get(EngineEntries.STORE_TIME)
            .filter(time -> !sentAt.isBefore(keysFrom(settled.get(), time)))
            .isPresent();
  }

  /** Returns from when on the operator must have written again what the store has lost. */
  static MonotonicTime keysFrom(StoreEraRow row, StoreTime time) {
    return time.latestLocalTime(
        row.settledAtMillis() + VerificationController.OPERATOR_REWRITE_TIME.toMillis());
  }

  /** Returns the time until a verification can vouch for keys, if that is in the future. */
  static Optional<Duration> untilKeysCanBeVerified(Blackboard blackboard, MonotonicTime now) {
    return StoreEraRow.of(blackboard)
        .filter(StoreEraRow::isAfterReturn)
        .flatMap(row -> blackboard.get(EngineEntries.STORE_TIME).map(time -> keysFrom(row, time)))
        .map(at -> at.plus(RELAYED_TIME_MARGIN))
        .filter(now::isBefore)
        .map(at -> at.since(now));
  }
}

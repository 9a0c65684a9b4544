package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The newest verification that a relay has reported, and when this host learnt of it. A relay whose
 * verification is old but has been renewed since is slow, or its store is; replacing it or calling
 * the store as well would not help.
 *
 * @param verifiedAt the start of that verification, as far as this host can tell
 * @param learntAt when the first reply arrived that told of it
 */
record RelayProgress(MonotonicTime verifiedAt, MonotonicTime learntAt) {
  static final RelayProgress NONE =
      new RelayProgress(MonotonicTime.of(Long.MIN_VALUE / 2), MonotonicTime.of(Long.MIN_VALUE / 2));

  /** Estimates of the same verification differ by the time that requests take on their way. */
  private static final Duration MIN_STEP = Duration.ofMillis(400);

  /** Returns the progress after a reply that tells of the given verification. */
  RelayProgress next(MonotonicTime reported, MonotonicTime now) {
    return reported.isBefore(verifiedAt.plus(MIN_STEP)) ? this : new RelayProgress(reported, now);
  }

  /** Returns whether a new verification was reported within the given time. */
  boolean isRecent(Duration age, MonotonicTime now) {
    return now.since(learntAt).compareTo(age) < 0;
  }
}

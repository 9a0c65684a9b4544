package org.persimmonwalk.internal.engine.control;

import java.util.Optional;
import org.persimmonwalk.model.MonotonicTime;

/**
 * What this host knows of the sources of a workspace's tokens. Decides until when no token can
 * come. Responds to operations that wait for a token while their lenders have failed, the store is
 * down, or the workspace has spent what its limit allows.
 *
 * @param hasLender whether a lender may be asked that has not failed since its last reply, or the
 *     pool of this host is refilled without a call
 * @param isStoreDown whether this host, which else takes tokens itself, cannot reach the store
 * @param bucketEmptyUntil until when the bucket holds no token, by the last write of this host;
 *     empty if that is not known
 */
record TokenOutlook(
    boolean hasLender, boolean isStoreDown, Optional<MonotonicTime> bucketEmptyUntil) {
  /** Later than any deadline: nobody knows when a source returns. */
  static final MonotonicTime NOT_IN_SIGHT = MonotonicTime.of(Long.MAX_VALUE / 2);

  /** Returns the time before which no token comes; empty if one may come at any time. */
  Optional<MonotonicTime> noTokenBefore(MonotonicTime now) {
    if (hasLender) {
      return Optional.empty();
    }
    return isStoreDown ? Optional.of(NOT_IN_SIGHT) : bucketEmptyUntil.filter(now::isBefore);
  }
}

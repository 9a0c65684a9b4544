package org.persimmonwalk.internal.control.lease;

import org.persimmonwalk.model.MonotonicTime;

/** Units that may be used until the end time, which is on the monotonic clock of this host. */
record UnitLease(long amount, MonotonicTime end) {

  UnitLease minus(long units) {
    return new UnitLease(amount - units, end);
  }
}

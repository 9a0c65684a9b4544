package org.persimmonwalk.internal.control.lease;

import org.persimmonwalk.model.MonotonicTime;

/** Units that may be used until an instant on the clock of this host. */
record Holding(long amount, MonotonicTime end) {

  Holding minus(long taken) {
    return new Holding(amount - taken, end);
  }
}

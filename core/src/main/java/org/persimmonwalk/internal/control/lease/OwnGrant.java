package org.persimmonwalk.internal.control.lease;

import org.persimmonwalk.id.GrantId;
import org.persimmonwalk.model.MonotonicTime;

/** This host's grant as read from a row, with times on the monotonic clock of this host. */
record OwnGrant(GrantId id, long amount, MonotonicTime start, MonotonicTime end) {

  OwnGrant withAmount(long newAmount) {
    return new OwnGrant(id, newAmount, start, end);
  }
}

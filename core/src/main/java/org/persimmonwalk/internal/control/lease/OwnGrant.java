package org.persimmonwalk.internal.control.lease;

import org.persimmonwalk.id.GrantId;
import org.persimmonwalk.model.MonotonicTime;

/** A grant that a row was seen to hold for this host, with times on the clock of this host. */
record OwnGrant(GrantId id, long amount, MonotonicTime start, MonotonicTime end) {

  OwnGrant withAmount(long newAmount) {
    return new OwnGrant(id, newAmount, start, end);
  }
}

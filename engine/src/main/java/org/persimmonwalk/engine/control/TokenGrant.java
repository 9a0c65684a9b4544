package org.persimmonwalk.engine.control;

import org.persimmonwalk.model.MonotonicTime;

/**
 * The tokens of a workspace that this host may spend; one token admits one operation.
 *
 * @param epoch another number means that earlier tokens lapsed
 * @param granted the tokens granted in this epoch so far
 * @param takenAt the time before the call that took or renewed the tokens
 * @param validUntil when the tokens that are left lapse
 * @param scarce whether the workspace asks for more than its limit
 */
public record TokenGrant(
    long epoch, long granted, MonotonicTime takenAt, MonotonicTime validUntil, boolean scarce) {}

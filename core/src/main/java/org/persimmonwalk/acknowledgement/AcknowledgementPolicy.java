package org.persimmonwalk.acknowledgement;

import org.persimmonwalk.model.MonotonicTime;

/**
 * Decides when a committed write is acknowledged. Traffic threads call it, so implementations are
 * thread-safe.
 */
public interface AcknowledgementPolicy {

  /**
   * Registers a committed write. Its callback receives the outcome once, possibly before this
   * method returns.
   *
   * @param write the committed write
   * @param now the current time
   */
  void register(PendingWrite write, MonotonicTime now);
}

package org.persimmonwalk.acknowledgement;

import org.persimmonwalk.model.MonotonicTime;

/**
 * Decides when a committed write is acknowledged. Implementations are safe for use by several
 * threads.
 */
public interface WriteAcknowledgement {

  /**
   * Takes a committed write; its callback is told the outcome once, perhaps before this returns.
   *
   * @param write the write
   * @param now the current time
   */
  void register(PendingWrite write, MonotonicTime now);
}

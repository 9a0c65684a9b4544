package org.persimmonwalk.internal.traffic.backend;

import org.persimmonwalk.result.ResultCode;

/**
 * A statement that waits for a connection. Unless it is cancelled first, exactly one method is
 * called, once, on any thread.
 */
public interface ConnectionWaiter {

  /** Grants a connection; the waiter must release it to the pool that granted it. */
  void granted(BackendConnection connection);

  /** Refuses a connection; the statement has not run. */
  void refused(ResultCode code);
}

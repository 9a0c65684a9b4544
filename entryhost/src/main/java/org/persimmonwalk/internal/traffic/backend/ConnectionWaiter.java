package org.persimmonwalk.internal.traffic.backend;

import org.persimmonwalk.result.ResultCode;

/** A statement that waits for a connection. Exactly one method is called, once, on any thread. */
public interface ConnectionWaiter {

  /** Gives the connection; the waiter must release it to the pool that gave it. */
  void granted(BackendConnection connection);

  /** Tells that no connection is to be had; the statement has not run. */
  void refused(ResultCode code);
}

package org.persimmonwalk.internal.engine.traffic;

import org.persimmonwalk.engine.control.SessionLimits;

/** Counts what all sessions of a host hold, so that together they leave the heap room. */
final class SessionStorage {
  private final SessionLimits limits;
  private long bytes;

  SessionStorage(SessionLimits limits) {
    this.limits = limits;
  }

  SessionLimits limits() {
    return limits;
  }

  /** Counts further bytes of a session; returns false, without counting, if there is no room. */
  boolean reserve(long added) {
    if (added > 0 && bytes + added > limits.bytesPerHost()) {
      return false;
    }
    bytes += added;
    return true;
  }

  void release(long removed) {
    bytes -= removed;
  }
}

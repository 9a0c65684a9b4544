package org.persimmonwalk.port;

import org.persimmonwalk.model.MonotonicTime;

/** A clock that never goes back. */
public interface MonotonicClock {

  /** Returns the current time. */
  MonotonicTime now();

  /** Returns the clock of the Java runtime. */
  static MonotonicClock system() {
    return () -> MonotonicTime.of(System.nanoTime());
  }
}

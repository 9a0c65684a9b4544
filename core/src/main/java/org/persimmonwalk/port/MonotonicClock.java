package org.persimmonwalk.port;

import org.persimmonwalk.model.MonotonicTime;

/** A clock that never goes back. */
public interface MonotonicClock {

  /** Returns the current time. */
  MonotonicTime now();

  /** Returns a clock that reads {@link System#nanoTime}. */
  static MonotonicClock system() {
    return () -> MonotonicTime.of(System.nanoTime());
  }
}

package org.persimmonwalk.testing;

import java.time.Duration;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.MonotonicClock;

/** A clock that stands still until a test advances it. */
public final class FakeClock implements MonotonicClock {
  private MonotonicTime now = MonotonicTime.of(0);

  @Override
  public MonotonicTime now() {
    return now;
  }

  /** Moves the clock forward. */
  public void advance(Duration duration) {
    now = now.plus(duration);
  }
}

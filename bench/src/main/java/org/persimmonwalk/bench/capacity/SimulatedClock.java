package org.persimmonwalk.bench.capacity;

import java.time.Duration;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.MonotonicClock;

/** A clock that stands still until {@link SimulatedFleet} advances it. */
final class SimulatedClock implements MonotonicClock {
  private MonotonicTime now = MonotonicTime.of(0);

  @Override
  public MonotonicTime now() {
    return now;
  }

  void advance(Duration duration) {
    now = now.plus(duration);
  }
}

package org.persimmonwalk.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ReconnectBackoffTest {

  /** Guards against a restarted host being flooded with connection attempts. */
  @Test
  void shouldDoubleTheDelayUpToTheMaximum() {
    ReconnectBackoff longest = backoff(true);
    ReconnectBackoff shortest = backoff(false);

    for (long full : new long[] {100, 200, 400, 500, 500}) {
      assertThat(longest.next()).isEqualTo(Duration.ofMillis(full));
      assertThat(shortest.next()).isEqualTo(Duration.ofMillis(full / 2));
    }
    longest.reset();
    assertThat(longest.next()).isEqualTo(Duration.ofMillis(100));
  }

  private static ReconnectBackoff backoff(boolean longest) {
    return ReconnectBackoff.of(
        Duration.ofMillis(100), Duration.ofMillis(500), bound -> longest ? bound - 1 : 0);
  }
}

package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class LeastExpectedTimeTest {
  private final ServerChoice choice = new LeastExpectedTime();

  private static ServerChoice.Candidate candidate(
      boolean usable, boolean primary, boolean connected, double latency, int outstanding) {
    return new ServerChoice.Candidate(
        null,
        usable,
        primary,
        true,
        connected,
        true,
        false,
        3,
        latency,
        outstanding,
        0,
        0,
        1,
        Duration.ZERO);
  }

  @Test
  void shouldPreferTheServerExpectedToAnswerFirst() {
    ServerChoice.Candidate slow = candidate(true, false, true, 200, 0);
    ServerChoice.Candidate busy = candidate(true, false, true, 20, 3);
    ServerChoice.Candidate free = candidate(true, false, true, 20, 0);

    assertThat(choice.choose(List.of(slow, busy, free))).contains(free);
  }

  /** Guards against opening a connection for each statement of a workspace. */
  @Test
  void shouldPreferAConnectedServer() {
    ServerChoice.Candidate connected = candidate(true, false, true, 40, 0);
    ServerChoice.Candidate fresh = candidate(true, false, false, 15, 0);

    assertThat(choice.choose(List.of(connected, fresh))).contains(connected);
  }

  /** Guards against reads that load the primary while a replica is about as fast. */
  @Test
  void shouldPreferAReplicaToThePrimary() {
    ServerChoice.Candidate primary = candidate(true, true, true, 18, 0);
    ServerChoice.Candidate replica = candidate(true, false, true, 20, 0);

    assertThat(choice.choose(List.of(primary, replica))).contains(replica);
  }

  @Test
  void shouldNotChooseAnUnusableServer() {
    assertThat(choice.choose(List.of(candidate(false, false, true, 1, 0)))).isEmpty();
  }
}

package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

class RestartSignsTest {
  private static final BackendServerId SERVER = BackendServerId.of("s1");

  private final RestartSigns signs = new RestartSigns();

  private static MonotonicTime at(long millis) {
    return MonotonicTime.of(millis * 1_000_000);
  }

  /** Loses a connection when the oldest one left was opened at the given time, or none is left. */
  private boolean lose(long usedMillis, Optional<Long> oldestMillis, long nowMillis) {
    return signs.connectionLost(
        SERVER, at(usedMillis), oldestMillis.map(RestartSignsTest::at), at(nowMillis));
  }

  /** Guards against a reset of one connection that makes the fleet avoid a server. */
  @Test
  void shouldReportOnlyTheLossOfAllConnections() {
    assertThat(lose(10_000, Optional.of(1000L), 10_000)).isFalse();
    assertThat(lose(10_200, Optional.empty(), 10_200)).isTrue();
  }

  /** Guards against servers that close idle connections. */
  @Test
  void shouldNotReportTheLossOfIdleConnections() {
    assertThat(lose(7000, Optional.empty(), 10_000)).isFalse();
    assertThat(lose(8500, Optional.empty(), 10_000)).isTrue();
  }

  /** Guards against a busy connection whose loss counts for an idle one lost much later. */
  @Test
  void shouldLookAtTheUseOfTheConnectionsThatAreLostTogether() {
    assertThat(lose(10_000, Optional.of(1000L), 10_000)).isFalse();
    assertThat(lose(2000, Optional.empty(), 10_600)).isFalse();

    assertThat(lose(20_000, Optional.of(1000L), 20_000)).isFalse();
    assertThat(lose(2000, Optional.empty(), 20_500)).isTrue();
  }

  /** Guards against a restart hidden by a connection that was opened to the next process. */
  @Test
  void shouldNotCountConnectionsToTheNextProcess() {
    assertThat(lose(10_000, Optional.of(1000L), 10_000)).isFalse();
    assertThat(lose(10_020, Optional.of(10_010L), 10_020)).isTrue();
  }

  /** Guards against a host that reports each server that it cannot reach. */
  @Test
  void shouldReportARefusalOnlyAfterALoss() {
    assertThat(signs.connectionRefused(SERVER, at(9000))).isFalse();
    assertThat(lose(2000, Optional.empty(), 10_000)).isFalse();
    assertThat(signs.connectionRefused(SERVER, at(10_300))).isTrue();

    assertThat(signs.connectionRefused(SERVER, at(20_000))).isFalse();
  }

  /** Guards against a link that flaps. */
  @Test
  void shouldReportAServerAtMostEveryFiveSeconds() {
    assertThat(lose(10_000, Optional.empty(), 10_000)).isTrue();
    assertThat(lose(14_999, Optional.empty(), 14_999)).isFalse();
    assertThat(lose(15_000, Optional.empty(), 15_000)).isTrue();
  }
}

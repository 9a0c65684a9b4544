package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.testing.FakeClock;

class ServerEjectionTest {
  private static final String FAILURE = "failed";

  private final FakeClock clock = new FakeClock();
  private final List<String> events = new ArrayList<>();
  private final ServerEjection ejection =
      new ServerEjection(
          BackendServerId.of("s1"), (event, fields) -> events.add(event + Arrays.toString(fields)));

  private void fail() {
    ejection.recordFailure(clock.now(), clock.now(), FAILURE);
  }

  private void succeed() {
    ejection.recordSuccess(clock.now(), clock.now());
  }

  private Duration left() {
    return ejection.left(clock.now());
  }

  /** Guards against a failing server that is tried again every 250 ms for as long as it fails. */
  @Test
  void shouldEjectForLongerEachTimeTheServerFailsAgainSoon() {
    List<Long> ejections = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      fail();
      ejections.add(left().toMillis());
      clock.advance(left().plusMillis(300));
    }

    assertThat(ejections).containsExactly(250L, 500L, 1000L, 2000L, 4000L, 8000L, 8000L, 8000L);
  }

  /** Guards against long ejections for failures that have nothing to do with each other. */
  @Test
  void shouldBeginAnewAfterAQuietTime() {
    fail();
    clock.advance(left().plus(ServerEjection.SOON));

    fail();

    assertThat(left()).isEqualTo(ServerEjection.FIRST);
  }

  /** Guards against requests in flight that each double the ejection which they all belong to. */
  @Test
  void shouldCountRequestsSentBeforeTheEjectionOnce() {
    var sentAt = clock.now();
    clock.advance(Duration.ofMillis(10));
    fail();
    ejection.recordFailure(sentAt, clock.now(), FAILURE);
    clock.advance(left());

    ejection.recordFailure(sentAt, clock.now(), FAILURE);

    assertThat(left()).isZero();
  }

  /** Guards against a server that gets all its load at once and fails again. */
  @Test
  void shouldReturnByOneRequestAtATimeFirst() {
    fail();
    clock.advance(left());

    assertThat(ejection.admits(0)).isTrue();
    assertThat(ejection.admits(1)).isFalse();
    assertThat(ejection.share()).isEqualTo(0.125);

    succeed();

    assertThat(ejection.admits(1)).isTrue();
    assertThat(ejection.admits(2)).isFalse();

    succeed();
    succeed();

    assertThat(ejection.admits(1000)).isTrue();
    assertThat(ejection.share()).isEqualTo(1);
  }

  /** Guards against answers to older requests that end the slow start of a failing server. */
  @Test
  void shouldIgnoreSuccessesOfRequestsSentBeforeTheReturn() {
    fail();
    var sentAt = clock.now();
    clock.advance(left());

    for (int i = 0; i < 10; i++) {
      ejection.recordSuccess(sentAt, clock.now());
    }

    assertThat(ejection.admits(1)).isFalse();
  }

  /** Guards against operators who cannot tell why and for how long a server got no reads. */
  @Test
  void shouldLogTheEjectionAndTheReturn() {
    fail();
    clock.advance(left());
    fail();
    clock.advance(left());
    for (int i = 0; i < 5; i++) {
      succeed();
    }

    assertThat(events)
        .containsExactly(
            "server-left[server, s1, reason, failed, forMs, 250]",
            "server-left[server, s1, reason, failed, forMs, 500]",
            "server-returned[server, s1, reason, failed, awayMs, 750]");
  }
}

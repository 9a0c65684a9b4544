package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Replays the calm day of 16 weak hosts in 3 zones with 72 workspaces, from the first seconds on.
 */
class TokenReplayTest {
  private static final int HOSTS = 16;
  private static final int ZONES = 3;
  private static final int WORKSPACES = 72;
  private static final double PER_SECOND = 61;
  private static final Duration DURATION = Duration.ofSeconds(20);

  /**
   * Guards against refusing operations inside the rate while lenders reply late, and against calls
   * for tokens that conflict. Before, 30 % of the operations were refused, and the relays made 12.7
   * transactions a second, half of which conflicted.
   *
   * <p>The bounds follow from results. The stated targets (docs/load-across-hosts.md, section 3),
   * under 0.2 % refused and half of those transactions, are not met
   * (docs/measurements/repeatable-tests.md).
   */
  @Test
  void shouldAdmitACalmLoadWithFewCallsForTokens() {
    TokenReplay replay = new TokenReplay(HOSTS, ZONES, WORKSPACES, PER_SECOND, 1);
    replay.fixture.run(Duration.ofSeconds(3));
    replay.openSessions();
    replay.fixture.run(Duration.ofMillis(500));
    replay.send(Duration.ofSeconds(5));
    int calls = replay.fixture.transactions.calls;
    int conflicts = replay.tokenConflicts();
    replay.send(DURATION);

    assertThat(replay.refused("over its rate")).as(replay.summary()).isZero();
    assertThat(replay.refused("")).as(replay.summary()).isLessThanOrEqualTo(replay.sent() / 100);
    assertThat(replay.tokenConflicts() - conflicts).as(replay.summary()).isLessThanOrEqualTo(25);
    assertThat(replay.fixture.transactions.calls - calls)
        .as(replay.summary())
        .isLessThanOrEqualTo((int) (DURATION.toSeconds() * 8));
  }
}

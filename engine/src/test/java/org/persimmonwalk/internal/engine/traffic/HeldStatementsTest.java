package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/** Tests the order in which a host sends what it holds. */
class HeldStatementsTest {
  private static final MonotonicTime NOW = MonotonicTime.of(0).plus(Duration.ofSeconds(10));
  private static final Duration WORK = Duration.ofMillis(20);
  private static final WorkspaceId QUIET = WorkspaceId.of("quiet");
  private static final WorkspaceId BUSY = WorkspaceId.of("busy");

  private final HeldStatements held = new HeldStatements();
  private long sequence;

  private HeldStatement hold(int priority, WorkspaceId workspace, int targetIn, int deadlineIn) {
    Route route =
        new Route(
            DatabaseName.of("r" + priority),
            DatabaseGroupId.of("g"),
            RouteKind.BOUNDED_STALENESS,
            Duration.ofSeconds(2),
            Duration.ofMillis(200),
            priority,
            Duration.ofMillis(1500),
            false);
    HeldStatement statement =
        new HeldStatement(
            route,
            workspace,
            false,
            NOW.plus(Duration.ofMillis(targetIn)),
            NOW.plus(Duration.ofMillis(deadlineIn)),
            sequence++,
            () -> {},
            failure -> {});
    held.add(statement);
    return statement;
  }

  /** Guards against each rank of the order: priority, share, latency target, deadline. */
  @Test
  void shouldOrderByPriorityThenShareThenTargetThenDeadline() {
    for (int i = 0; i < 10; i++) {
      held.shares().recordSent(BUSY, NOW);
    }
    held.shares().recordSent(QUIET, NOW);
    HeldStatement lowest = hold(2, QUIET, 100, 200);
    HeldStatement beyondShare = hold(1, BUSY, 100, 150);
    HeldStatement late = hold(1, QUIET, 10, 120);
    HeldStatement laterDeadline = hold(1, QUIET, 100, 400);
    HeldStatement first = hold(1, QUIET, 100, 300);

    assertThat(held.inOrder(NOW, WORK))
        .containsExactly(first, laterDeadline, late, beyondShare, lowest);
    assertThat(held.ahead(beyondShare, NOW, WORK)).isEqualTo(3);
  }

  /** Guards against a workspace that stays behind the others after its burst. */
  @Test
  void shouldForgetWhatAWorkspaceSentBefore() {
    held.shares().recordSent(BUSY, NOW);
    held.shares().recordSent(BUSY, NOW);
    held.shares().recordSent(QUIET, NOW);
    assertThat(held.shares().isInside(BUSY, NOW)).isFalse();

    assertThat(held.shares().isInside(BUSY, NOW.plus(Duration.ofSeconds(10)))).isTrue();
  }
}

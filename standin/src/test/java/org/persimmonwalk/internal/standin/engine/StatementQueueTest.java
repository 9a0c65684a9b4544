package org.persimmonwalk.internal.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.testing.FakeClock;

class StatementQueueTest {
  private static final BackendServerId A = BackendServerId.of("a");

  private final GroupEngine engine = GroupEngine.create(List.of(A), new FakeClock());
  private final ManualTimers timers = new ManualTimers();
  private final List<Integer> concurrency = new ArrayList<>();
  private final List<String> outcomes = new ArrayList<>();
  private final StatementQueue queue =
      StatementQueue.create(engine, timers, 2, Duration.ZERO, concurrency::add);
  private final Session first = engine.open(A, Map.of());
  private final Session second = engine.open(A, Map.of());
  private final Session third = engine.open(A, Map.of());

  @BeforeEach
  void createTable() {
    submit(first, "CREATE TABLE filing (code text, street text)");
    outcomes.clear();
    concurrency.clear();
  }

  /** Guards against running more statements at once than the server has slots. */
  @Test
  void shouldRunAtMostTwoStatementsAtOnce() {
    queue.setServiceTime(Duration.ofMillis(5));
    submit(first, "INSERT INTO filing (code) VALUES ('1')");
    submit(second, "INSERT INTO filing (code) VALUES ('2')");
    submit(third, "INSERT INTO filing (code) VALUES ('3')");
    assertThat(concurrency).containsExactly(1, 2);
    assertThat(outcomes).isEmpty();
    timers.runAll();
    timers.runAll();
    assertThat(outcomes).hasSize(3).containsOnly("INSERT 0 1");
    assertThat(concurrency).containsExactly(1, 2, 2);
  }

  /** Guards against a cancelled statement that takes effect or keeps its slot. */
  @Test
  void shouldCancelBeforeTheEffect() {
    queue.setServiceTime(Duration.ofMillis(5));
    submit(first, "INSERT INTO filing (code) VALUES ('1')");
    submit(second, "INSERT INTO filing (code) VALUES ('2')");
    queue.cancel(first);
    queue.cancel(second);
    timers.runAll();
    assertThat(outcomes).containsExactly("57014", "57014");
    queue.setServiceTime(Duration.ZERO);
    submit(third, "INSERT INTO filing (code) VALUES ('1')");
    assertThat(outcomes).containsExactly("57014", "57014", "INSERT 0 1");
  }

  /** Guards against statements that take effect while the server is paused. */
  @Test
  void shouldTakeEffectOnlyAfterAPause() {
    queue.setServiceTime(Duration.ofMillis(5));
    submit(first, "INSERT INTO filing (code) VALUES ('1')");
    queue.setPaused(true);
    timers.runAll();
    assertThat(outcomes).isEmpty();
    queue.setPaused(false);
    assertThat(outcomes).containsExactly("INSERT 0 1");
  }

  /** Guards against two open transactions that both insert the same key. */
  @Test
  void shouldWaitForTheTransactionThatHoldsTheRow() {
    submit(first, "BEGIN");
    submit(first, "INSERT INTO filing (code) VALUES ('x')");
    submit(second, "INSERT INTO filing (code) VALUES ('x')");
    assertThat(outcomes).containsExactly("BEGIN", "INSERT 0 1");
    submit(first, "COMMIT");
    assertThat(outcomes).containsExactly("BEGIN", "INSERT 0 1", "COMMIT", "23505");
  }

  /** Guards against a row that stays locked after the connection that locked it is closed. */
  @Test
  void shouldReleaseRowsOfAClosedSession() {
    submit(first, "BEGIN");
    submit(first, "INSERT INTO filing (code) VALUES ('x')");
    submit(second, "INSERT INTO filing (code) VALUES ('x')");
    queue.close(first);
    assertThat(outcomes).containsExactly("BEGIN", "INSERT 0 1", "INSERT 0 1");
  }

  /** Guards against transactions that wait for each other forever. */
  @Test
  void shouldDetectADeadlock() {
    submit(first, "BEGIN");
    submit(second, "BEGIN");
    submit(first, "INSERT INTO filing (code) VALUES ('x')");
    submit(second, "INSERT INTO filing (code) VALUES ('y')");
    submit(first, "INSERT INTO filing (code) VALUES ('y')");
    outcomes.clear();
    submit(second, "INSERT INTO filing (code) VALUES ('x')");
    assertThat(outcomes).containsExactly("40P01");
    submit(second, "ROLLBACK");
    assertThat(outcomes).containsExactly("40P01", "ROLLBACK", "INSERT 0 1");
  }

  private void submit(Session session, String sql) {
    StatementTask.Listener listener =
        new StatementTask.Listener() {
          @Override
          public void onAnswer(Execution.Answer answer, boolean answerLost) {
            outcomes.add(answer.tag());
          }

          @Override
          public void onFailure(SqlException failure) {
            outcomes.add(failure.sqlState());
          }
        };
    queue.submit(StatementTask.of(session, SqlParser.parseOne(sql), List.of(), listener));
  }

  /** Timers whose actions run only when the test calls {@link #runAll}. */
  private static final class ManualTimers implements Timers {
    private final List<Runnable> actions = new ArrayList<>();

    @Override
    public Timer schedule(Duration delay, Runnable action) {
      actions.add(action);
      return () -> actions.remove(action);
    }

    void runAll() {
      List<Runnable> due = List.copyOf(actions);
      actions.clear();
      due.forEach(Runnable::run);
    }
  }
}

package org.persimmonwalk.internal.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.LogPosition;
import org.persimmonwalk.testing.FakeClock;

class GroupEngineTest {
  private static final BackendServerId A = BackendServerId.of("server-a");
  private static final BackendServerId B = BackendServerId.of("server-b");
  private static final BackendServerId C = BackendServerId.of("server-c");

  private final FakeClock clock = new FakeClock();
  private final GroupEngine engine = GroupEngine.create(List.of(A, B, C), clock);
  private final Session onA = engine.open(A, Map.of());
  private final Session onB = engine.open(B, Map.of());
  private final Session onC = engine.open(C, Map.of());

  @BeforeEach
  void createTable() {
    run(onA, "CREATE TABLE filing (code text, street text)");
  }

  /** Guards against replicas that receive or show a commit before its delay has passed. */
  @Test
  void shouldReceiveAndReplayAfterTheirDelays() {
    engine.setReceiveDelay(B, Duration.ofMillis(10));
    engine.setReplayLag(B, Duration.ofMillis(200));
    insert(onA, "x");
    LogPosition position = received(onA);
    clock.advance(Duration.ofMillis(9));
    assertThat(received(onB)).isLessThan(position);
    clock.advance(Duration.ofMillis(1));
    assertThat(received(onB)).isEqualTo(position);
    clock.advance(Duration.ofMillis(199));
    assertThat(count(onB)).isZero();
    clock.advance(Duration.ofMillis(1));
    assertThat(count(onB)).isOne();
    assertThat(sample(onB))
        .containsExactly("replica", "1", position.toString(), position.toString(), "0");
  }

  /**
   * Guards against an isolated replica that receives records, or that does not catch up afterwards.
   */
  @Test
  void shouldReceiveNothingWhileIsolated() {
    engine.setIsolated(B, true);
    insert(onA, "x");
    clock.advance(Duration.ofSeconds(3));
    assertThat(count(onB)).isZero();
    assertThat(sample(onB).get(4)).isEqualTo("3000");
    assertThat(count(onC)).isOne();
    engine.setIsolated(B, false);
    assertThat(count(onB)).isOne();
    assertThat(sample(onB).get(4)).isEqualTo("0");
  }

  /**
   * Guards against a fenced server that keeps receiving from the old primary: such writes would
   * count as replicated although the promotion may lose them.
   */
  @Test
  void shouldReceiveNothingFromALowerTermOnceFenced() {
    List<String> answer = row(onB, "SELECT * FROM persimmonwalk_fence(7, 'host-1')");
    assertThat(answer).containsExactly("t", "1", received(onB).toString());
    insert(onA, "x");
    assertThat(received(onB)).isLessThan(received(onA));
    assertThat(sample(onB).subList(0, 2)).containsExactly("fenced", "7");
  }

  /**
   * Guards against a term promised to two hosts, and against accepting a lower term than promised.
   */
  @Test
  void shouldPromiseEachTermToOneHost() {
    assertThat(fence(onB, 7, "host-1")).isTrue();
    assertThat(fence(onB, 7, "host-2")).isFalse();
    assertThat(fence(onB, 7, "host-1")).isTrue();
    assertThat(fence(onB, 6, "host-1")).isFalse();
    assertThat(fence(onB, 8, "host-2")).isTrue();
    assertThat(promote(onB, 7, "host-1")).isFalse();
    assertThat(fence(onA, 9, "host-1")).isFalse();
  }

  /** Guards against promoting a server that follows the new primary but lacks its records. */
  @Test
  void shouldReportTermOfLastRecordWhenFenced() {
    engine.setReceiveDelay(C, Duration.ofHours(1));
    insert(onA, "x");
    promoteB();
    assertThat(sample(onC).subList(0, 2)).containsExactly("replica", "7");
    List<String> answer = row(onC, "SELECT * FROM persimmonwalk_fence(8, 'host-1')");
    assertThat(answer.subList(0, 2)).containsExactly("t", "1");
  }

  /** Guards against a promotion without a fence, and against a repeated one with another result. */
  @Test
  void shouldPromoteOnlyWhenFencedForTheTermAndHost() {
    insert(onA, "x");
    assertThat(promote(onB, 7, "host-1")).isFalse();
    fence(onB, 7, "host-1");
    assertThat(promote(onB, 7, "host-2")).isFalse();
    List<String> first = row(onB, "SELECT * FROM persimmonwalk_promote(7, 'host-1')");
    insert(onB, "y");
    assertThat(row(onB, "SELECT * FROM persimmonwalk_promote(7, 'host-1')")).isEqualTo(first);
    assertThat(first).containsExactly("t", "7", received(onA).toString());
    assertThat(sample(onB).subList(0, 2)).containsExactly("primary", "7");
    assertThat(count(onB)).isEqualTo(2);
  }

  /** Guards against an isolated primary that stops serving the callers that still reach it. */
  @Test
  void shouldLetTheOldPrimaryAcceptWritesThatNoReplicaReceives() {
    engine.setIsolated(A, true);
    promoteB();
    insert(onA, "unacknowledged");
    insert(onB, "acknowledged");
    engine.setIsolated(A, false);
    assertThat(sample(onA).subList(0, 2)).containsExactly("primary", "1");
    assertThat(codes(onC)).containsExactly("acknowledged");
    assertThat(received(onC)).isEqualTo(received(onB));
  }

  /**
   * Guards against records unknown to the new primary that survive, or count as received from it.
   */
  @Test
  void shouldDiscardDivergedRecordsWhenFollowing() {
    insert(onA, "common");
    engine.setIsolated(A, true);
    promoteB();
    insert(onA, "lost");
    run(onA, "BEGIN");
    insert(onA, "open");
    assertThat(follow(onA, 7, "server-b")).isTrue();
    assertThat(onA.terminated()).isTrue();
    Session again = engine.open(A, Map.of());
    assertThat(sample(again).subList(0, 2)).containsExactly("fenced", "7");
    engine.setIsolated(A, false);
    assertThat(codes(again)).containsExactly("common");
    insert(onB, "new");
    assertThat(codes(again)).containsExactly("common", "new");
    assertThat(sample(again).subList(0, 2)).containsExactly("replica", "7");
    assertFails(again, "DELETE FROM filing WHERE code = 'new'", "25006");
    assertFails(onA, "COMMIT", "57P01");
  }

  /** Guards against servers that follow an older term, themselves or a server outside the group. */
  @Test
  void shouldRefuseToFollowOlderTerms() {
    promoteB();
    assertThat(follow(onC, 6, "server-a")).isFalse();
    assertThat(follow(onC, 7, "server-b")).isTrue();
    assertThat(follow(onB, 7, "server-c")).isFalse();
    assertThat(follow(onB, 8, "server-b")).isFalse();
    assertThat(follow(onB, 8, "server-x")).isFalse();
  }

  /** Guards against a restarted server that has lost its log or its promised term. */
  @Test
  void shouldKeepPromisedTermAndLogOverARestart() {
    insert(onA, "x");
    fence(onC, 7, "host-1");
    engine.setRunning(C, false);
    assertFails(onC, "SELECT 1", "57P01");
    engine.setRunning(C, true);
    Session again = engine.open(C, Map.of());
    assertThat(count(again)).isOne();
    assertThat(fence(again, 7, "host-2")).isFalse();
  }

  /**
   * Guards against writes in a read-only transaction, and against statements after a failed one.
   */
  @Test
  void shouldKeepTransactionRules() {
    run(onA, "BEGIN READ ONLY");
    assertFails(onA, "INSERT INTO filing (code) VALUES ('x')", "25006");
    assertFails(onA, "SELECT * FROM filing", "25P02");
    assertThat(answer(onA, "COMMIT").tag()).isEqualTo("ROLLBACK");
    insert(onA, "x");
    assertFails(onA, "INSERT INTO filing (code) VALUES ('x')", "23505");
    run(onA, "UPDATE filing SET street = 'Długa' WHERE code = 'x'");
    assertThat(row(onA, "SELECT street, code FROM filing WHERE street = 'Długa' AND code = 'x'"))
        .containsExactly("Długa", "x");
    assertThat(answer(onA, "DELETE FROM filing WHERE code = 'x'").tag()).isEqualTo("DELETE 1");
    assertThat(count(onA)).isZero();
  }

  private void promoteB() {
    fence(onB, 7, "host-1");
    fence(onC, 7, "host-1");
    assertThat(promote(onB, 7, "host-1")).isTrue();
    assertThat(follow(onC, 7, "server-b")).isTrue();
  }

  private boolean fence(Session session, int term, String host) {
    return accepted(session, "fence(" + term + ", '" + host + "')");
  }

  private boolean promote(Session session, int term, String host) {
    return accepted(session, "promote(" + term + ", '" + host + "')");
  }

  private boolean follow(Session session, int term, String server) {
    return accepted(session, "follow(" + term + ", '" + server + "')");
  }

  private boolean accepted(Session session, String call) {
    return row(session, "SELECT * FROM persimmonwalk_" + call).get(0).equals("t");
  }

  private List<String> sample(Session session) {
    return row(session, "SELECT * FROM persimmonwalk_sample()");
  }

  private LogPosition received(Session session) {
    return LogPosition.parse(sample(session).get(2));
  }

  private int count(Session session) {
    return Integer.parseInt(row(session, "SELECT count(*) FROM filing").get(0));
  }

  private List<String> codes(Session session) {
    return answer(session, "SELECT code FROM filing").rows().stream()
        .map(row -> row.get(0))
        .toList();
  }

  private void insert(Session session, String code) {
    run(session, "INSERT INTO filing (code) VALUES ('" + code + "')");
  }

  private List<String> row(Session session, String sql) {
    return answer(session, sql).rows().get(0);
  }

  private void run(Session session, String sql) {
    answer(session, sql);
  }

  private void assertFails(Session session, String sql, String state) {
    assertThatThrownBy(() -> answer(session, sql))
        .isInstanceOfSatisfying(
            SqlException.class, failure -> assertThat(failure.sqlState()).isEqualTo(state));
  }

  private Execution.Answer answer(Session session, String sql) {
    return (Execution.Answer) engine.execute(session, SqlParser.parseOne(sql), List.of());
  }
}

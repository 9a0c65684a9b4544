package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.BackendStatement;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.ServerStatusRead.Status;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.engine.testing.FakeServers.Sent;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/** Guards against statements that reach the servers of an evacuated zone, and false refusals. */
class EvacuatedZoneTest {
  private static final Statement READ = new Statement.Data(false, "READ x");
  private static final Statement WRITE = new Statement.Data(true, "WRITE x 1");
  private static final Statement BEGIN = new Statement.Begin(false);
  private static final Duration LEARNED = Duration.ofMillis(1500);
  private static final Duration BOUND = Duration.ofMillis(5000);

  private final EngineFixture fixture =
      new EngineFixture(2, 2, EngineSettingsFixture.BOUNDS_WITH_EVACUATION, StoreEra.FIRST);
  private final Engine host = fixture.hosts.get(0);
  private final FakeCaller caller = new FakeCaller();

  private void start(String zoneOfPrimary, String zoneOfSecond, String zoneOfThird) {
    fixture.operator.place("s1", zoneOfPrimary);
    fixture.operator.place("s2", zoneOfSecond);
    fixture.operator.place("s3", zoneOfThird);
    answerStatus("s1", true);
    answerStatus("s2", false);
    answerStatus("s3", false);
    fixture.run(Duration.ofSeconds(5));
  }

  private void answerStatus(String server, boolean primary) {
    fixture.statuses.put(
        BackendServerId.of(server), new Status(primary, 3, TermPosition.of(3, 100)));
  }

  private Session open(RouteKind kind) {
    return fixture.open(host, kind, caller);
  }

  private List<Sent> sentTo(String server) {
    return fixture.servers.sent().stream()
        .filter(sent -> sent.server().value().equals(server))
        .toList();
  }

  private long connections(String server) {
    return fixture.servers.openConnections(BackendServerId.of(server));
  }

  private boolean isDrained(String zone) {
    return fixture.events.contains("evacuation-drained[zone, " + zone + "]");
  }

  /** Sends writes, which keep a sample of the primary's position, between reads. */
  private void readAndWrite(Session session, int times) {
    for (int i = 0; i < times; i++) {
      fixture.send(session, "w" + i, WRITE);
      fixture.send(session, "r" + i, READ);
    }
  }

  @Test
  void shouldSendReadsElsewhereAtOnce() {
    start("a", "b", "c");
    Session session = open(RouteKind.BOUNDED_STALENESS);
    readAndWrite(session, 10);
    fixture.operator.evacuate("b");
    fixture.run(LEARNED);
    int before = sentTo("s2").size();
    long succeeded = caller.succeeded();

    readAndWrite(session, 20);

    assertThat(sentTo("s2")).hasSize(before);
    assertThat(caller.succeeded() - succeeded).isEqualTo(40);
    assertThat(connections("s2")).isZero();
    assertThat(isDrained("b")).isTrue();
  }

  /** Guards against refused reads while a primary elsewhere could serve them. */
  @Test
  void shouldSendReadsToThePrimaryWhenNoReplicaIsLeft() {
    start("a", "b", "b");
    Session session = open(RouteKind.BOUNDED_STALENESS);
    readAndWrite(session, 10);
    fixture.operator.evacuate("b");
    fixture.run(LEARNED);
    int before = sentTo("s2").size() + sentTo("s3").size();
    long succeeded = caller.succeeded();

    readAndWrite(session, 10);

    assertThat(sentTo("s2").size() + sentTo("s3").size()).isEqualTo(before);
    assertThat(caller.succeeded() - succeeded).isEqualTo(20);
  }

  /** Guards against reads that wait, or go to the zone, when the whole group is in it. */
  @Test
  void shouldRefuseReadsAtOnceWhenAllServersAreInTheZone() {
    start("a", "a", "a");
    Session session = open(RouteKind.BOUNDED_STALENESS);
    readAndWrite(session, 5);
    fixture.operator.evacuate("a");
    fixture.run(Duration.ofMillis(1000));
    fixture.send(session, "w", WRITE);
    assertThat(caller.last().succeeded()).isTrue();
    int before = fixture.servers.sent().size();

    int answered = caller.answered();
    session.receive(RequestId.of("r"), READ);

    assertThat(caller.answered()).isEqualTo(answered + 1);
    assertThat(caller.lastCode()).contains(FailureCode.OVERLOADED);
    assertThat(fixture.servers.sent()).hasSize(before);
  }

  /** Guards against writes that the zone's primary still gets after the bound. */
  @Test
  void shouldMoveWritesToThePrimaryOfAnotherZone() {
    start("a", "b", "c");
    Session session = open(RouteKind.PRIMARY);
    fixture.send(session, "first", WRITE);
    fixture.operator.evacuate("a");
    MonotonicTime confirmedAt = fixture.clock.now();
    int refused = 0;
    for (int i = 0; i < 80; i++) {
      int before = sentTo("s1").size();
      boolean isLate = fixture.clock.now().since(confirmedAt).compareTo(BOUND) > 0;
      fixture.send(session, "w" + i, WRITE);
      boolean isRefused = !caller.last().succeeded();
      refused += isRefused ? 1 : 0;
      if (isRefused) {
        assertThat(caller.lastCode()).contains(FailureCode.OVERLOADED);
      }
      if (isLate) {
        assertThat(sentTo("s1")).as("write %d", i).hasSize(before);
      }
    }

    assertThat(caller.last().succeeded()).isTrue();
    // The time between the deadline and the switch, and until the promotion is recorded.
    assertThat(refused).isLessThan(20);
    assertThat(sentTo("s1").size()).isGreaterThan(10);
    assertThat(connections("s1")).isZero();
    assertThat(isDrained("a")).isTrue();
  }

  /** Guards against writes at a primary that no server can replace in time. */
  @Test
  void shouldRefuseWritesFromTheDeadlineUntilTheSwitch() {
    start("a", "b", "c");
    fixture.statuses.remove(BackendServerId.of("s2"));
    fixture.statuses.remove(BackendServerId.of("s3"));
    Session session = open(RouteKind.PRIMARY);
    fixture.send(session, "first", WRITE);
    fixture.operator.evacuate("a");
    fixture.run(BOUND);
    int before = sentTo("s1").size();

    for (int i = 0; i < 20; i++) {
      int answered = caller.answered();
      session.receive(RequestId.of("w" + i), WRITE);
      assertThat(caller.answered()).as("refused at once").isEqualTo(answered + 1);
      assertThat(caller.lastCode()).contains(FailureCode.OVERLOADED);
      fixture.run(Duration.ofMillis(200));
    }
    assertThat(sentTo("s1")).hasSize(before);
    assertThat(connections("s1")).isZero();
    assertThat(isDrained("a")).isTrue();

    answerStatus("s2", false);
    fixture.run(Duration.ofSeconds(4));
    fixture.send(session, "last", WRITE);

    assertThat(caller.last().succeeded()).isTrue();
    assertThat(sentTo("s2")).anyMatch(Sent::isWrite);
  }

  /** Guards against transactions that go on after the deadline, or are not told of their end. */
  @Test
  void shouldAbortOpenTransactionsAtTheDeadline() {
    start("a", "a", "a");
    Session session = open(RouteKind.PRIMARY);
    fixture.send(session, "1", BEGIN);
    fixture.send(session, "2", WRITE);
    fixture.operator.evacuate("a");
    for (int i = 0; i < 10; i++) {
      fixture.run(Duration.ofMillis(200));
      fixture.send(session, "t" + i, WRITE);
      assertThat(caller.last().succeeded()).as("statement %d", i).isTrue();
    }
    fixture.run(Duration.ofMillis(1900));
    int before = fixture.servers.sent().size();

    fixture.send(session, "3", WRITE);
    assertThat(caller.lastCode()).contains(FailureCode.ABORTED);
    fixture.send(session, "4", WRITE);
    assertThat(caller.lastCode()).contains(FailureCode.MALFORMED);
    fixture.send(session, "5", new Statement.Rollback());
    assertThat(caller.last().succeeded()).isTrue();

    assertThat(fixture.servers.sent()).hasSize(before);
    assertThat(connections("s1")).isZero();
  }

  /** Guards against a commit that is sent to the zone after the deadline. */
  @Test
  void shouldAnswerTheCommitOfAnAbortedTransactionAsAborted() {
    start("a", "a", "a");
    Session session = open(RouteKind.PRIMARY);
    fixture.send(session, "1", BEGIN);
    fixture.send(session, "2", WRITE);
    fixture.operator.evacuate("a");
    fixture.run(Duration.ofMillis(2500));
    fixture.send(session, "3", WRITE);
    fixture.run(Duration.ofMillis(2300));

    fixture.send(session, "4", new Statement.Commit("COMMIT"));

    assertThat(caller.lastCode()).contains(FailureCode.ABORTED);
    assertThat(fixture.servers.sent()).noneMatch(sent -> sent.isText("COMMIT"));
  }

  /** Guards against a rollback that is sent to the zone after the deadline. */
  @Test
  void shouldNotRollBackOnAServerAfterTheDeadline() {
    start("a", "a", "a");
    Session session = open(RouteKind.PRIMARY);
    fixture.send(session, "1", BEGIN);
    fixture.servers.behave(sent -> Optional.empty());
    session.receive(RequestId.of("2"), WRITE);
    fixture.operator.evacuate("a");
    fixture.run(BOUND);
    int before = fixture.servers.sent().size();

    session.callerDisconnected();
    fixture.run(Duration.ofSeconds(1));

    assertThat(fixture.servers.sent()).hasSize(before);
    assertThat(connections("s1")).isZero();
  }

  /** Guards against a write that is reported as unknown because the deadline passed meanwhile. */
  @Test
  void shouldAcknowledgeAWriteThatWasSentBeforeTheDeadline() {
    start("a", "a", "a");
    Session session = open(RouteKind.PRIMARY);
    fixture.send(session, "1", WRITE);
    fixture.operator.evacuate("a");
    fixture.run(Duration.ofMillis(1500));
    MonotonicTime deadline =
        fixture.entry(host, EngineEntries.EVACUATIONS).deadlines().get(AvailabilityZone.of("a"));
    while (fixture.clock.now().plus(Duration.ofMillis(50)).isBefore(deadline)) {
      fixture.run(Duration.ofMillis(10));
    }
    fixture.servers.delayAnswers(fixture.scheduler, Duration.ofMillis(300));
    session.receive(RequestId.of("2"), WRITE);
    fixture.run(Duration.ofMillis(500));

    assertThat(caller.answered()).isEqualTo(2);
    assertThat(caller.last().succeeded()).isTrue();
    assertThat(connections("s1")).isZero();
  }

  /** Guards against a zone that stays unused after it was taken back. */
  @Test
  void shouldUseAZoneAgainAtOnceWhenItIsTakenBack() {
    start("a", "a", "a");
    Session session = open(RouteKind.BOUNDED_STALENESS);
    readAndWrite(session, 5);
    fixture.operator.evacuate("a");
    fixture.run(Duration.ofSeconds(8));
    fixture.send(session, "refused", WRITE);
    assertThat(caller.lastCode()).contains(FailureCode.OVERLOADED);
    fixture.operator.takeBack("a");
    fixture.run(LEARNED);
    long succeeded = caller.succeeded();

    readAndWrite(session, 5);

    assertThat(caller.succeeded() - succeeded).isEqualTo(10);
    assertThat(fixture.promotions).isEmpty();
  }

  /** Guards against a request that waits for a connection to the zone until its time is over. */
  @Test
  void shouldMoveWaitingReadsElsewhere() {
    start("a", "b", "c");
    Session session = open(RouteKind.BOUNDED_STALENESS);
    readAndWrite(session, 5);
    fixture.servers.behave(
        sent ->
            sent.server().value().equals("s2")
                ? Optional.of(Answer.failed(FailureCode.OVERLOADED, "busy", SessionState.IDLE))
                : fixture.servers.success(sent));
    fixture.operator.evacuate("b");
    for (int i = 0; i < 30; i++) {
      fixture.send(session, "w" + i, WRITE);
      fixture.send(session, "r" + i, READ);
      assertThat(caller.last().succeeded()).as("read %d", i).isTrue();
    }
    assertThat(connections("s2")).isZero();
  }

  /** Guards against a host that came from elsewhere and is out of touch forgetting the zone. */
  @Test
  void shouldNotUseTheZoneWhileTheStoreIsDown() {
    start("a", "b", "c");
    Session session = open(RouteKind.BOUNDED_STALENESS);
    readAndWrite(session, 5);
    fixture.operator.evacuate("b");
    fixture.run(LEARNED);
    int before = sentTo("s2").size();
    fixture.storeIsUp = false;

    readAndWrite(session, 40);

    assertThat(sentTo("s2")).hasSize(before);
  }

  /** Guards against an internal statement, such as a prepared one, that is sent too late. */
  @Test
  void shouldSendNothingAtAllAfterTheDeadline() {
    start("a", "a", "a");
    Session session = open(RouteKind.PRIMARY);
    fixture.send(session, "1", new Statement.SetVariable("role", "clerk"));
    fixture.send(session, "2", WRITE);
    fixture.operator.evacuate("a");
    fixture.run(BOUND);
    int before = fixture.servers.sent().size();
    for (int i = 0; i < 10; i++) {
      fixture.send(session, "b" + i, BEGIN);
      fixture.send(session, "w" + i, WRITE);
      fixture.send(session, "r" + i, new Statement.Rollback());
    }

    assertThat(fixture.servers.sent()).hasSize(before);
    assertThat(fixture.servers.sent())
        .noneMatch(sent -> sent.statement().action() instanceof BackendStatement.Rollback);
  }
}

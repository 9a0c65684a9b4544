package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.engine.testing.FakeServers;

/** Tests which log positions reads with bounded staleness require of replicas. */
class BoundedReadTest {
  private static final Statement READ = new Statement.Data(false, "READ x");

  /** Longer than the staleness of the fixture's routes. */
  private static final Duration POSITIONS_EXPIRE = Duration.ofSeconds(2);

  private static final RowKey LEADERSHIP = RowKey.of("leadership", "tanks");
  private static final TermPosition REPLICA_POSITION = TermPosition.of(3, 50);
  private static final TermPosition PRIMARY_POSITION = TermPosition.of(3, 100);

  private final EngineFixture fixture = new EngineFixture(1);
  private final FakeCaller caller = new FakeCaller();

  /**
   * Guards against reads that miss acknowledged commits: a replica that lagged answered, and its
   * answer arrived after the host had learned that the replica was promoted. Its position was taken
   * for one that covers every commit acknowledged before the request.
   */
  @Test
  void shouldIgnoreThePositionThatAServerReturnedAsAReplica() {
    Session reader = fixture.open(fixture.hosts.get(0), RouteKind.BOUNDED_STALENESS, caller);
    fixture.send(reader, "1", READ);
    onlyServing("s2");
    Session session =
        fixture.open(fixture.hosts.get(0), RouteKind.BOUNDED_STALENESS, new FakeCaller());
    session.receive(RequestId.of("2"), new Statement.Begin(true));
    session.receive(RequestId.of("3"), READ);
    fixture.write(LEADERSHIP, "MOVING s1 1 0");
    fixture.run(Duration.ofMillis(2200));

    fixture.servers.delayAnswers(fixture.scheduler, Duration.ofMillis(600));
    session.receive(RequestId.of("4"), READ);
    fixture.write(LEADERSHIP, "STABLE s2 1 0");
    fixture.servers.setPosition(REPLICA_POSITION);
    fixture.run(Duration.ofMillis(620));
    fixture.servers.setPosition(PRIMARY_POSITION);
    fixture.servers.delayAnswers(fixture.scheduler, Duration.ZERO);
    onlyServing("s3");
    int before = fixture.servers.sent().size();
    fixture.send(reader, "5", READ);

    assertThat(readsAt("s3", before)).allMatch(BoundedReadTest::requiresThePrimaryPosition);

    onlyServing("s2");
    fixture.send(reader, "6", READ);
    onlyServing("s3");
    fixture.send(reader, "7", READ);

    assertThat(caller.last().succeeded()).isTrue();
    assertThat(readsAt("s3", before))
        .isNotEmpty()
        .allMatch(BoundedReadTest::requiresThePrimaryPosition);
  }

  /** Guards against a read that its required position makes too long for a message. */
  @Test
  void shouldReadAtThePrimaryIfAMessageCannotCarryThePosition() {
    Session reader = fixture.open(fixture.hosts.get(0), RouteKind.BOUNDED_STALENESS, caller);
    fixture.send(reader, "1", READ);
    onlyServing("s2");
    fixture.send(reader, "2", READ);
    assertThat(readsAt("s2", 1)).isNotEmpty();
    fixture.servers.behave(fixture.servers::success);
    fixture.servers.carryOnly(statement -> statement.position().isEmpty());
    int before = fixture.servers.sent().size();

    fixture.send(reader, "3", READ);

    assertThat(caller.last().succeeded()).isTrue();
    assertThat(readsAt("s1", before)).hasSize(1);
    assertThat(fixture.servers.sent()).hasSize(before + 1);
  }

  /**
   * Guards against a read that fails for good because the primary, which alone can run it while no
   * position is known, failed it once.
   */
  @Test
  void shouldRepeatAReadOnThePrimaryThatNoOtherServerCanRun() {
    Session reader = readerWithoutPosition();
    failReads(1);
    int before = fixture.servers.sent().size();

    fixture.send(reader, "2", READ);

    assertThat(caller.last().succeeded()).isTrue();
    assertThat(readsAt("s1", before)).hasSize(2);
  }

  /** Guards against a faulty statement that is repeated until the attempts are used up. */
  @Test
  void shouldRepeatAReadOnThePrimaryOnceOnly() {
    Session reader = readerWithoutPosition();
    failReads(Integer.MAX_VALUE);
    int before = fixture.servers.sent().size();

    fixture.send(reader, "2", READ);

    assertThat(caller.lastCode()).contains(FailureCode.FAILED);
    assertThat(readsAt("s1", before)).hasSize(2);
    assertThat(fixture.servers.sent()).hasSize(before + 2);
  }

  /** Opens a session with a connection to the primary and lets the known positions expire. */
  private Session readerWithoutPosition() {
    Session reader = fixture.open(fixture.hosts.get(0), RouteKind.BOUNDED_STALENESS, caller);
    fixture.send(reader, "1", READ);
    fixture.run(POSITIONS_EXPIRE);
    return reader;
  }

  /** Lets the next reads fail on every server. */
  private void failReads(int count) {
    AtomicInteger left = new AtomicInteger(count);
    fixture.servers.behave(
        sent ->
            sent.isText("READ x") && left.getAndDecrement() > 0
                ? Optional.of(Answer.failed(FailureCode.FAILED, "failed", SessionState.IDLE))
                : fixture.servers.success(sent));
  }

  /** Lets only one server run statements; the others refuse them. */
  private void onlyServing(String server) {
    Set<String> refusing = Set.of("s1", "s2", "s3");
    fixture.servers.behave(
        sent -> {
          String id = sent.server().value();
          return refusing.contains(id) && !id.equals(server)
              ? Optional.of(Answer.failed(FailureCode.OVERLOADED, "full", SessionState.IDLE))
              : fixture.servers.success(sent);
        });
  }

  private List<FakeServers.Sent> readsAt(String server, int from) {
    List<FakeServers.Sent> sent = fixture.servers.sent();
    return sent.subList(from, sent.size()).stream()
        .filter(each -> each.server().value().equals(server) && each.isText("READ x"))
        .toList();
  }

  private static boolean requiresThePrimaryPosition(FakeServers.Sent sent) {
    return sent.statement().position().orElse(TermPosition.ZERO).covers(PRIMARY_POSITION);
  }
}

package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.engine.testing.FakeServers;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.KeyHash;

class SessionTest {
  private static final Statement READ = new Statement.Data(false, "READ x");
  private static final Statement WRITE = new Statement.Data(true, "WRITE x 1");
  private static final Statement COMMIT = new Statement.Commit("COMMIT");

  private static final DatabaseGroupId OTHER_GROUP = DatabaseGroupId.of("trucks");

  private final EngineFixture fixture = new EngineFixture(1);
  private final FakeCaller caller = new FakeCaller();

  private Session open(RouteKind kind) {
    return fixture.open(fixture.hosts.get(0), kind, caller);
  }

  @Test
  void shouldSendWritesToThePrimary() {
    fixture.send(open(RouteKind.READ_OWN_WRITES), "1", WRITE);

    assertThat(caller.last().failure()).isEmpty();
    assertThat(fixture.servers.sent().get(0).server().value()).isEqualTo("s1");
  }

  /** Guards against running statements of a session whose key was withdrawn after it was opened. */
  @Test
  void shouldRefuseWithdrawnKeyOnOpenSession() {
    Session session = open(RouteKind.PRIMARY);
    fixture.publish(EngineFixture.configuration(2, 100, Map.of()));
    fixture.run(Duration.ofMillis(1500));

    fixture.send(session, "1", READ);

    assertThat(caller.lastCode()).contains(FailureCode.KEY_REJECTED);
    assertThat(fixture.servers.sent()).isEmpty();
  }

  /** Guards against serving an outdated configuration while the store is unreachable. */
  @Test
  void shouldCloseSessionsWhenTheConfigurationCannotBeVerified() {
    Session session = open(RouteKind.READ_OWN_WRITES);
    fixture.send(session, "1", WRITE);
    fixture.storeIsUp = false;
    fixture.run(Duration.ofMillis(5000));

    assertThat(caller.isClosed()).isTrue();
    assertThat(fixture.hosts.get(0).sessions().isReady()).isFalse();
  }

  /** Guards against relying on outdated control state after the machine was suspended. */
  @Test
  void shouldRefuseAfterSuspensionUntilVerifiedAgain() {
    Session session = open(RouteKind.PRIMARY);
    fixture.storeIsUp = false;
    fixture.run(Duration.ofMillis(30));
    fixture.stepWallClock(Duration.ofSeconds(8));

    session.receive(RequestId.of("1"), READ);

    assertThat(caller.lastCode()).contains(FailureCode.OVERLOADED);
  }

  /** Guards against reporting a write as not run when it may have run. */
  @Test
  void shouldReportUnknownOutcomeWhenWriteGetsNoAnswer() {
    fixture.servers.behave(sent -> Optional.empty());
    Session session = open(RouteKind.PRIMARY);
    fixture.send(session, "1", WRITE);

    fixture.servers.cutAll();

    assertThat(caller.lastCode()).contains(FailureCode.OUTCOME_UNKNOWN);
  }

  /** Guards against reporting a lost COMMIT as not run. */
  @Test
  void shouldReportUnknownOutcomeWhenCommitGetsNoAnswer() {
    Session session = open(RouteKind.PRIMARY);
    fixture.servers.behave(
        sent ->
            sent.isText("COMMIT")
                ? Optional.empty()
                : Optional.of(Answer.done(SessionState.IN_TRANSACTION)));
    fixture.send(session, "1", new Statement.Begin(false));
    fixture.send(session, "2", WRITE);
    fixture.send(session, "3", COMMIT);

    fixture.servers.cutAll();

    assertThat(caller.lastCode()).contains(FailureCode.OUTCOME_UNKNOWN);
    assertThat(caller.last().state()).isEqualTo(SessionState.IDLE);
  }

  /** The server rolls back a transaction that was not committed, so nothing of it is kept. */
  @Test
  void shouldReportAbortedWhenConnectionEndsBeforeCommit() {
    Session session = open(RouteKind.PRIMARY);
    fixture.send(session, "1", new Statement.Begin(false));
    fixture.send(session, "2", WRITE);
    fixture.servers.cutAll();

    fixture.send(session, "3", COMMIT);

    assertThat(caller.lastCode()).contains(FailureCode.ABORTED);
  }

  /** Guards against acknowledging a write to a primary that was replaced while the write ran. */
  @Test
  void shouldWithholdAcknowledgementWhenPrimaryIsBeingReplaced() {
    Session session = open(RouteKind.PRIMARY);
    fixture.servers.behave(
        sent -> {
          if (sent.isText("WRITE x 1")) {
            fixture.rows.put(
                RowKey.of("leadership", "tanks"),
                StoredRow.of(StoreVersion.of(StoreEra.UNKNOWN, 9999), "MOVING s1 1 0"));
            fixture.run(Duration.ofMillis(1200));
          }
          return fixture.servers.success(sent);
        });

    fixture.send(session, "1", WRITE);

    assertThat(caller.lastCode()).contains(FailureCode.OUTCOME_UNKNOWN);
  }

  /** Guards against a read that misses the session's own commit because all replicas lack it. */
  @Test
  void shouldReadFromThePrimaryWhenReplicasAreBehind() {
    Session session = open(RouteKind.READ_OWN_WRITES);
    fixture.send(session, "1", WRITE);
    fixture.servers.behave(
        sent ->
            sent.server().value().equals("s1")
                ? fixture.servers.success(sent)
                : Optional.of(Answer.failed(FailureCode.BEHIND, "behind", SessionState.IDLE)));

    fixture.send(session, "2", READ);

    assertThat(caller.last().succeeded()).isTrue();
    List<FakeServers.Sent> sent = fixture.servers.sent();
    assertThat(sent.get(sent.size() - 1).server().value()).isEqualTo("s1");
  }

  /** Guards against reads that don't tell the replica which position they need. */
  @Test
  void shouldSendAMinimumPositionToReplicas() {
    Session session = open(RouteKind.READ_OWN_WRITES);
    fixture.send(session, "1", WRITE);
    fixture.send(session, "2", READ);

    assertThat(fixture.servers.sent())
        .filteredOn(sent -> !sent.server().value().equals("s1"))
        .allMatch(sent -> sent.statement().position().isPresent());
  }

  /**
   * Guards against a session that reads an older state than its own commit after its route led to
   * another group for a while and the session wrote there.
   */
  @Test
  void shouldKeepThePositionOfAGroupWhileTheRouteLeadsToAnother() {
    ServerEntry listed = fixture.entries.get(BackendServerId.of("s1"));
    ServerEntry other =
        new ServerEntry(
            BackendServerId.of("t1"),
            OTHER_GROUP,
            listed.endpoint(),
            listed.zone(),
            listed.slots(),
            false,
            true,
            1);
    fixture.entries.put(other.id(), other);
    Session session = open(RouteKind.READ_OWN_WRITES);
    fixture.send(session, "0", WRITE);
    fixture.servers.setPosition(TermPosition.of(3, 200));
    fixture.send(session, "1", WRITE);

    routeTo(2, OTHER_GROUP);
    fixture.servers.setPosition(TermPosition.of(1, 50));
    fixture.send(session, "2", WRITE);
    assertThat(caller.last().succeeded()).isTrue();

    routeTo(3, EngineFixture.GROUP);
    fixture.servers.behave(
        sent ->
            sent.server().value().equals("s1")
                ? Optional.of(Answer.failed(FailureCode.OVERLOADED, "full", SessionState.IDLE))
                : fixture.servers.success(sent));
    int before = fixture.servers.sent().size();
    fixture.send(session, "3", READ);

    assertThat(caller.last().succeeded()).isTrue();
    assertThat(fixture.servers.sent().subList(before, fixture.servers.sent().size()))
        .filteredOn(sent -> !sent.server().value().equals("s1"))
        .isNotEmpty()
        .allMatch(sent -> sent.statement().position().get().covers(TermPosition.of(3, 200)));
  }

  private void routeTo(long version, DatabaseGroupId group) {
    RoutingConfiguration usual =
        EngineFixture.configuration(
            version, 100, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE));
    Map<DatabaseName, Route> routes = new HashMap<>();
    usual
        .routes()
        .forEach(
            (name, route) ->
                routes.put(
                    name,
                    new Route(
                        name,
                        group,
                        route.kind(),
                        route.statementTimeout(),
                        route.latencyTarget(),
                        route.priority(),
                        // The position before the commit stays recent enough for other sessions.
                        Duration.ofSeconds(20),
                        route.open())));
    fixture.publish(
        new RoutingConfiguration(
            usual.version(),
            routes,
            Map.of(
                EngineFixture.GROUP,
                usual.groups().get(EngineFixture.GROUP),
                OTHER_GROUP,
                usual.groups().get(EngineFixture.GROUP)),
            usual.keys(),
            usual.limits(),
            usual.transactionIdleTimeout()));
    fixture.run(Duration.ofMillis(3000));
  }

  /** Guards against a session that sees variables or prepared statements of another one. */
  @Test
  void shouldIsolateVariablesOfSessionsThatShareAConnection() {
    Session first = open(RouteKind.PRIMARY);
    Session second = open(RouteKind.PRIMARY);
    fixture.send(first, "1", new Statement.SetVariable("colour", "red"));
    fixture.send(first, "2", READ);
    fixture.send(second, "3", READ);

    assertThat(fixture.servers.sent())
        .extracting(sent -> (Object) sent.statement().action().getClass().getSimpleName())
        .containsExactly("SetVariable", "Text", "Reset", "Text");
  }

  /** Guards against reporting an overloaded server's refusal while there is time for a retry. */
  @Test
  void shouldRetryWritesThatAnOverloadedServerDidNotRun() {
    int[] refusals = {2};
    fixture.servers.behave(
        sent ->
            refusals[0]-- > 0
                ? Optional.of(Answer.failed(FailureCode.OVERLOADED, "full", SessionState.IDLE))
                : fixture.servers.success(sent));

    fixture.send(open(RouteKind.PRIMARY), "1", WRITE);

    assertThat(caller.last().succeeded()).isTrue();
  }

  /** Guards against reporting the failure of a read that another server can serve. */
  @Test
  void shouldRetryFailedReadsOnAnotherServer() {
    Session session = open(RouteKind.BOUNDED_STALENESS);
    fixture.send(session, "1", READ);
    int[] failures = {1};
    fixture.servers.behave(
        sent ->
            failures[0]-- > 0
                ? Optional.of(Answer.failed(FailureCode.FAILED, "failed", SessionState.IDLE))
                : fixture.servers.success(sent));

    fixture.send(session, "2", READ);

    assertThat(caller.last().succeeded()).isTrue();
  }

  /** Guards against retrying a write that ran and failed. */
  @Test
  void shouldReportFailuresOfWritesThatRan() {
    fixture.servers.behave(
        sent ->
            Optional.of(
                new Answer(
                    List.of(),
                    Answer.NO_PROOF,
                    Optional.of(Failure.of(FailureCode.FAILED, "ran")),
                    SessionState.IDLE,
                    Optional.empty())));

    fixture.send(open(RouteKind.PRIMARY), "1", WRITE);

    assertThat(caller.lastCode()).contains(FailureCode.FAILED);
    assertThat(fixture.servers.sent()).hasSize(1);
  }

  @Test
  void shouldRefuseUnknownDatabases() {
    FakeCaller other = new FakeCaller();
    fixture.hosts.get(0).sessions().open(other, DatabaseName.of("none"), Optional.empty());

    assertThat(other.refusal()).contains(FailureCode.UNKNOWN_DATABASE);
  }

  /** Guards against refusals by a host that has just started and has no configuration yet. */
  @Test
  void shouldLetCallersWaitForTheFirstConfiguration() {
    EngineFixture fleet = new EngineFixture(2);
    Engine started = fleet.restart(fleet.hosts.get(0));
    FakeCaller waiting = new FakeCaller();
    List<Session> opened = new ArrayList<>();
    started
        .sessions()
        .open(
            waiting,
            DatabaseName.of(RouteKind.PRIMARY.name()),
            Optional.of(KeyHash.ofKey(EngineFixture.KEY)),
            opened::add);
    assertThat(opened).isEmpty();
    assertThat(waiting.refusal()).isEmpty();

    fleet.run(Duration.ofMillis(400));

    assertThat(opened).hasSize(1);
  }

  /** Guards against callers that wait forever while the store is unreachable. */
  @Test
  void shouldRefuseACallerWhenNoConfigurationComes() {
    EngineFixture fleet = new EngineFixture(2);
    fleet.storeIsUp = false;
    Engine started = fleet.restart(fleet.hosts.get(0));
    FakeCaller waiting = new FakeCaller();
    started
        .sessions()
        .open(
            waiting,
            DatabaseName.of(RouteKind.PRIMARY.name()),
            Optional.of(KeyHash.ofKey(EngineFixture.KEY)),
            session -> {});
    fleet.run(Duration.ofMillis(1200));

    assertThat(waiting.refusal()).contains(FailureCode.OVERLOADED);
  }
}

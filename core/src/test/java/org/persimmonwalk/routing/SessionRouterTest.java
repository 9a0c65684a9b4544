package org.persimmonwalk.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.control.configuration.ConfigurationController;
import org.persimmonwalk.internal.control.position.ReplicaPositionController;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.LogPosition;
import org.persimmonwalk.model.ServerSample;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.model.Term;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.observation.ConfigurationLoaded;
import org.persimmonwalk.observation.ServerSampled;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.testing.FakeClock;
import org.persimmonwalk.testing.RecordingCommandExecutor;

class SessionRouterTest {
  private static final DatabaseGroupId GROUP = DatabaseGroupId.of("tanks");
  private static final AvailabilityZone ZONE = AvailabilityZone.of("zone-b");
  private static final Term TERM = Term.of(1);

  private final FakeClock clock = new FakeClock();
  private final ControlLoop loop =
      ControlLoop.of(
          List.of(ConfigurationController.create(), ReplicaPositionController.create()),
          new RecordingCommandExecutor(),
          clock,
          RandomSource.seeded(1));
  private final RequestRouter router = SessionRouter.of(server -> 0);

  @BeforeEach
  void loadConfiguration() {
    DatabaseGroup group =
        DatabaseGroup.of(
            GROUP,
            List.of(server("a", "zone-a"), server("b", "zone-b"), server("c", "zone-c")),
            Duration.ofSeconds(30));
    Workspace workspace = Workspace.of(WorkspaceId.of("oil"), 100, 10, Set.of(GROUP));
    Configuration configuration =
        new Configuration(
            Revision.of(1),
            ReleaseNoteId.of("first"),
            Map.of(workspace.id(), workspace),
            Map.of(),
            Map.of(GROUP, group));
    loop.post(new ConfigurationLoaded(configuration, clock.now()));
    loop.runRound();
  }

  /** Guards against a session that does not read its own writes. */
  @Test
  void shouldServeOwnWriteFromPrimaryUntilReplicaHasReplayedIt() {
    sample(100, 100, 100);
    clock.advance(Duration.ofMillis(500));
    sample(200, 200, 100);
    MinimumPosition minimumPosition = MinimumPosition.known(position(150));

    assertThat(server(read(minimumPosition))).isEqualTo("a");

    sample(200, 200, 150);
    assertThat(server(read(minimumPosition))).isEqualTo("b");
  }

  /** Guards against a session that misses writes it made through another entry host before. */
  @Test
  void shouldAwaitSampleThatStartedAfterSessionWasDeclared() {
    sample(200, 200, 200);
    clock.advance(Duration.ofMillis(1));
    MinimumPosition minimumPosition = MinimumPosition.unknown(clock.now());

    assertThat(read(minimumPosition))
        .isEqualTo(new RoutingDecision.Await(ResultCode.POSITION_UNKNOWN));

    sample(300, 300, 200);
    assertThat(server(read(minimumPosition))).isEqualTo("a");
  }

  /** Guards against reads of data that is older than the caller accepts. */
  @Test
  void shouldNotReadFromReplicaWhoseDataIsOlderThanMaximumAge() {
    sample(100, 100, 100);
    clock.advance(Duration.ofSeconds(2));
    sample(200, 200, 100);
    clock.advance(Duration.ofMillis(100));

    assertThat(server(read(MinimumPosition.none(), Duration.ofSeconds(3)))).isEqualTo("b");
    assertThat(server(read(MinimumPosition.none(), Duration.ofSeconds(1)))).isEqualTo("a");
  }

  /**
   * Guards against a data age that is measured back from the current time instead of the arrival of
   * the statement: no sample would ever be recent enough for a maximum age of zero.
   */
  @Test
  void shouldServeReadWithZeroMaximumAgeAfterSampleStartedAfterItsArrival() {
    RoutingRequest request =
        new RoutingRequest(
            GROUP,
            StatementKind.READ,
            MinimumPosition.none(),
            Optional.of(Duration.ZERO),
            ZONE,
            clock.now());
    clock.advance(Duration.ofMillis(3));
    sample(100, 100, 100);
    clock.advance(Duration.ofMillis(3));

    assertThat(server(router.route(loop.snapshot(), request, clock.now()))).isEqualTo("b");
  }

  /** Guards against writes on an isolated primary, which could not be acknowledged. */
  @Test
  void shouldNotSendWriteToPrimaryThatNoReplicaConfirms() {
    loop.post(
        new ServerSampled(
            BackendServerId.of("a"),
            ServerSample.ofPrimary(TERM, LogPosition.of(100)),
            clock.now()));
    loop.runRound();

    assertThat(route(StatementKind.WRITE, MinimumPosition.none(), Optional.empty()))
        .isEqualTo(new RoutingDecision.Await(ResultCode.PRIMARY_UNCONFIRMED));
  }

  private void sample(long primary, long received, long replayed) {
    post("a", ServerSample.ofPrimary(TERM, LogPosition.of(primary)));
    ServerSample replica =
        ServerSample.ofReplica(
            TERM, LogPosition.of(received), LogPosition.of(replayed), Duration.ZERO);
    post("b", replica);
    post("c", replica);
    loop.runRound();
  }

  private void post(String server, ServerSample sample) {
    loop.post(new ServerSampled(BackendServerId.of(server), sample, clock.now()));
  }

  private RoutingDecision read(MinimumPosition minimumPosition) {
    return route(StatementKind.READ, minimumPosition, Optional.empty());
  }

  private RoutingDecision read(MinimumPosition minimumPosition, Duration maximumAge) {
    return route(StatementKind.READ, minimumPosition, Optional.of(maximumAge));
  }

  private RoutingDecision route(
      StatementKind kind, MinimumPosition minimumPosition, Optional<Duration> maximumAge) {
    RoutingRequest request =
        new RoutingRequest(GROUP, kind, minimumPosition, maximumAge, ZONE, clock.now());
    return router.route(loop.snapshot(), request, clock.now());
  }

  private static String server(RoutingDecision decision) {
    return ((RoutingDecision.Execute) decision).server().id().value();
  }

  private static GroupPosition position(long bytes) {
    return GroupPosition.of(TERM, LogPosition.of(bytes));
  }

  private static BackendServer server(String id, String zone) {
    return BackendServer.of(
        BackendServerId.of(id),
        AvailabilityZone.of(zone),
        SocketEndpoint.of("127.0.0.1", 5432),
        3,
        50);
  }
}

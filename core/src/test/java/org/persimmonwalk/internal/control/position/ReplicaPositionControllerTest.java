package org.persimmonwalk.internal.control.position;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.internal.control.configuration.ConfigurationController;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.LogPosition;
import org.persimmonwalk.model.ServerSample;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.model.Term;
import org.persimmonwalk.observation.ConfigurationLoaded;
import org.persimmonwalk.observation.ServerSampleFailed;
import org.persimmonwalk.observation.ServerSampled;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FakeClock;
import org.persimmonwalk.testing.RecordingCommandExecutor;

/**
 * Guards against group views that miss a sample or a change of the configuration, and against work
 * for groups that have neither.
 */
class ReplicaPositionControllerTest {
  private static final DatabaseGroupId FIRST = DatabaseGroupId.of("first");
  private static final DatabaseGroupId SECOND = DatabaseGroupId.of("second");
  private static final Term TERM = Term.of(1);

  private final FakeClock clock = new FakeClock();
  private final ControlLoop loop =
      ControlLoop.of(
          List.of(ConfigurationController.create(), ReplicaPositionController.create()),
          new RecordingCommandExecutor(),
          clock,
          RandomSource.seeded(1));

  @BeforeEach
  void configureTwoGroups() {
    configure(1, group(FIRST, "a", "b"), group(SECOND, "c", "d"));
  }

  /** With 570 groups, building every view in each round took most of a CPU core. */
  @Test
  void shouldKeepViewOfGroupWithoutSamples() {
    GroupView second = views().get(SECOND);
    sample("a", ServerSample.ofPrimary(TERM, LogPosition.of(10)));
    assertThat(views().get(SECOND)).isSameAs(second);
    assertThat(views().get(FIRST).primary()).contains(BackendServerId.of("a"));
  }

  @Test
  void shouldKeepViewsInRoundWithoutSamples() {
    Map<DatabaseGroupId, GroupView> before = views();
    loop.runRound();
    assertThat(views()).isSameAs(before);
  }

  @Test
  void shouldRecordFailedSampleForThatServerOnly() {
    loop.post(new ServerSampleFailed(BackendServerId.of("b"), clock.now()));
    loop.runRound();
    assertThat(isFailing(FIRST, "b")).isTrue();
    assertThat(isFailing(FIRST, "a")).isFalse();
  }

  @Test
  void shouldIgnoreSampleOfServerThatIsNotConfigured() {
    Map<DatabaseGroupId, GroupView> before = views();
    sample("unknown", ServerSample.ofPrimary(TERM, LogPosition.of(10)));
    assertThat(views()).isSameAs(before);
  }

  /** A changed configuration must not lose samples of remaining servers or keep a removed group. */
  @Test
  void shouldFollowChangedConfigurationAndKeepSamples() {
    sample("a", ServerSample.ofPrimary(TERM, LogPosition.of(10)));
    configure(2, group(FIRST, "a", "b", "e"));
    assertThat(views()).containsOnlyKeys(FIRST);
    GroupView first = views().get(FIRST);
    assertThat(first.servers()).hasSize(3);
    assertThat(first.server(BackendServerId.of("a")).orElseThrow().sample()).isPresent();
    sample("e", ServerSample.ofReplica(TERM, LogPosition.of(10), LogPosition.of(9), oneSecond()));
    assertThat(views().get(FIRST).newestConfirmed()).isPresent();
  }

  private Map<DatabaseGroupId, GroupView> views() {
    return loop.snapshot().get(Entries.GROUPS);
  }

  private boolean isFailing(DatabaseGroupId group, String server) {
    return views()
        .get(group)
        .server(BackendServerId.of(server))
        .orElseThrow()
        .failingSince()
        .isPresent();
  }

  private void sample(String server, ServerSample sample) {
    clock.advance(Duration.ofMillis(50));
    loop.post(new ServerSampled(BackendServerId.of(server), sample, clock.now()));
    loop.runRound();
  }

  private void configure(long revision, DatabaseGroup... groups) {
    Map<DatabaseGroupId, DatabaseGroup> byId = new HashMap<>();
    for (DatabaseGroup group : groups) {
      byId.put(group.id(), group);
    }
    ReleaseNoteId note = ReleaseNoteId.of("note-" + revision);
    Configuration configuration =
        new Configuration(Revision.of(revision), note, Map.of(), Map.of(), byId);
    loop.post(new ConfigurationLoaded(configuration, clock.now()));
    loop.runRound();
  }

  private static DatabaseGroup group(DatabaseGroupId id, String... servers) {
    AvailabilityZone zone = AvailabilityZone.of("zone-a");
    SocketEndpoint endpoint = SocketEndpoint.of("127.0.0.1", 5432);
    List<BackendServer> list =
        List.of(servers).stream()
            .map(name -> BackendServer.of(BackendServerId.of(name), zone, endpoint, 3, 50))
            .toList();
    return DatabaseGroup.of(id, list, Duration.ofSeconds(30));
  }

  private static Duration oneSecond() {
    return Duration.ofSeconds(1);
  }
}

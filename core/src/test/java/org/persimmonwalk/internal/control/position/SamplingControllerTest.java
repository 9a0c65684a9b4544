package org.persimmonwalk.internal.control.position;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.command.SampleServer;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.internal.control.configuration.ConfigurationController;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.LogPosition;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerSample;
import org.persimmonwalk.model.Term;
import org.persimmonwalk.observation.ConfigurationLoaded;
import org.persimmonwalk.observation.SampleRequested;
import org.persimmonwalk.observation.ServerSampled;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FakeClock;
import org.persimmonwalk.testing.FakeDatabaseGroup;
import org.persimmonwalk.testing.FakeLinks;
import org.persimmonwalk.testing.RecordingCommandExecutor;

class SamplingControllerTest {
  private final FakeClock clock = new FakeClock();
  private final RecordingCommandExecutor executor = new RecordingCommandExecutor();
  private final DatabaseGroup group =
      FakeDatabaseGroup.of(3, new FakeLinks(), clock).configuration();
  private final ControlLoop loop =
      ControlLoop.of(
          List.of(
              ConfigurationController.create(),
              SamplingController.of(SamplingSettings.defaults()),
              ReplicaPositionController.create()),
          executor,
          clock,
          RandomSource.seeded(1));

  @BeforeEach
  void sampleOnce() {
    Configuration configuration =
        new Configuration(
            Revision.of(1),
            ReleaseNoteId.of("first"),
            Map.of(),
            Map.of(),
            Map.of(group.id(), group));
    loop.post(new ConfigurationLoaded(configuration, clock.now()));
    assertThat(round()).containsExactly("a", "b", "c");
    answer("a", "b", "c");
    assertThat(round()).isEmpty();
  }

  @Test
  void shouldProbeAgainAfterRoutineInterval() {
    advance(199);
    assertThat(round()).isEmpty();
    advance(1);
    assertThat(round()).containsExactly("a", "b", "c");
  }

  @Test
  void shouldProbeOnRequestButNotMoreOftenThanEveryFiveMilliseconds() {
    advance(4);
    request();
    assertThat(round()).isEmpty();
    advance(1);
    assertThat(round()).containsExactly("a", "b", "c");
    answer("a", "b", "c");
    advance(5);
    assertThat(round()).isEmpty();
  }

  @Test
  void shouldKeepRequestUntilProbeInFlightHasEnded() {
    advance(200);
    round();
    request();
    advance(10);
    assertThat(round()).isEmpty();
    answer("a", "b", "c");
    assertThat(round()).containsExactly("a", "b", "c");
  }

  /** A primary probed alone would be newer than each replica answer and never be confirmed. */
  @Test
  void shouldProbePrimaryOnlyTogetherWithReplica() {
    advance(200);
    round();
    answer("a");
    advance(200);
    assertThat(round()).isEmpty();
    answer("b");
    assertThat(round()).containsExactly("a", "b");
    assertThat(view().newestConfirmed().orElseThrow().startedAt().nanoseconds())
        .isEqualTo(Duration.ofMillis(200).toNanos());
  }

  /** A lost result must not stop sampling, and must not be taken for health. */
  @Test
  void shouldCountProbeWithoutResultAsFailedAndProbeAgain() {
    advance(200);
    round();
    MonotonicTime started = clock.now();
    advance(500);
    round();
    assertThat(view().server(BackendServerId.of("a")).orElseThrow().failingSince())
        .contains(started);
    assertThat(round()).containsExactly("a", "b", "c");
  }

  /** A result that arrives after a newer one must not take back what is known. */
  @Test
  void shouldIgnoreResultOlderThanNewestSample() {
    MonotonicTime late = clock.now();
    advance(200);
    round();
    loop.post(new ServerSampled(BackendServerId.of("b"), replica(300), clock.now()));
    loop.post(new ServerSampled(BackendServerId.of("b"), replica(100), late));
    round();
    assertThat(view().server(BackendServerId.of("b")).orElseThrow().sample())
        .contains(replica(300));
  }

  /** A host that does not reach the new primary learns the term from a replica. */
  @Test
  void shouldLeaveTermOfPrimaryThatReplicaHasLeft() {
    advance(200);
    round();
    ServerSample moved =
        ServerSample.ofReplica(Term.of(2), LogPosition.of(100), LogPosition.of(100), Duration.ZERO);
    loop.post(new ServerSampled(BackendServerId.of("c"), moved, clock.now()));
    round();
    assertThat(view().term()).isEqualTo(Term.of(2));
    assertThat(view().primary()).isEmpty();
    assertThat(view().confirmed()).isEmpty();
  }

  private GroupView view() {
    return loop.snapshot().get(Entries.GROUPS).get(group.id());
  }

  private void request() {
    loop.post(new SampleRequested(group.id()));
  }

  private void advance(long milliseconds) {
    clock.advance(Duration.ofMillis(milliseconds));
  }

  private List<String> round() {
    loop.runRound();
    return executor.take(SampleServer.class).stream()
        .map(command -> command.server().id().value())
        .toList();
  }

  /** Answers the newest probes as of their start. */
  private void answer(String... servers) {
    for (String name : servers) {
      BackendServerId server = BackendServerId.of(name);
      MonotonicTime startedAt = loop.snapshot().get(Entries.PROBES).get(server).startedAt();
      ServerSample sample =
          name.equals("a") ? ServerSample.ofPrimary(Term.of(1), LogPosition.of(100)) : replica(100);
      loop.post(new ServerSampled(server, sample, startedAt));
    }
  }

  private static ServerSample replica(long received) {
    return ServerSample.ofReplica(
        Term.of(1), LogPosition.of(received), LogPosition.of(received), Duration.ZERO);
  }
}

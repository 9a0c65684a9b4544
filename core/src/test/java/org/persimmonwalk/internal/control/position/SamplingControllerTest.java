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

/**
 * Guards against probes that start too often, too late or not at all, and against samples that give
 * a wrong view of the group.
 */
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
    assertThat(runRound()).containsExactly("a", "b", "c");
    postSamples("a", "b", "c");
    assertThat(runRound()).isEmpty();
  }

  @Test
  void shouldProbeAgainAfterRoutineInterval() {
    advance(199);
    assertThat(runRound()).isEmpty();
    advance(1);
    assertThat(runRound()).containsExactly("a", "b", "c");
  }

  @Test
  void shouldProbeOnRequestButNotMoreOftenThanEveryFiveMilliseconds() {
    advance(4);
    request();
    assertThat(runRound()).isEmpty();
    advance(1);
    assertThat(runRound()).containsExactly("a", "b", "c");
    postSamples("a", "b", "c");
    advance(5);
    assertThat(runRound()).isEmpty();
  }

  @Test
  void shouldKeepRequestUntilProbeInFlightIsAnswered() {
    advance(200);
    runRound();
    request();
    advance(10);
    assertThat(runRound()).isEmpty();
    postSamples("a", "b", "c");
    assertThat(runRound()).containsExactly("a", "b", "c");
  }

  /** A primary's sample is never confirmed if every replica's probe started before it. */
  @Test
  void shouldProbePrimaryOnlyTogetherWithReplica() {
    advance(200);
    runRound();
    postSamples("a");
    advance(200);
    assertThat(runRound()).isEmpty();
    postSamples("b");
    assertThat(runRound()).containsExactly("a", "b");
    assertThat(view().newestConfirmed().orElseThrow().startedAt().nanoseconds())
        .isEqualTo(Duration.ofMillis(200).toNanos());
  }

  /** A lost result must not stop sampling, and the server must not keep looking healthy. */
  @Test
  void shouldCountProbeWithoutResultAsFailedAndProbeAgain() {
    advance(200);
    runRound();
    MonotonicTime started = clock.now();
    advance(500);
    runRound();
    assertThat(view().server(BackendServerId.of("a")).orElseThrow().failingSince())
        .contains(started);
    assertThat(runRound()).containsExactly("a", "b", "c");
  }

  /** A result that arrives after one of a later probe must not replace it. */
  @Test
  void shouldIgnoreResultOlderThanNewestSample() {
    MonotonicTime late = clock.now();
    advance(200);
    runRound();
    loop.post(new ServerSampled(BackendServerId.of("b"), replica(300), clock.now()));
    loop.post(new ServerSampled(BackendServerId.of("b"), replica(100), late));
    runRound();
    assertThat(view().server(BackendServerId.of("b")).orElseThrow().sample())
        .contains(replica(300));
  }

  /**
   * A host that cannot reach the new primary learns of its term from a replica and must not
   * continue to use the old primary.
   */
  @Test
  void shouldAdoptHigherTermOfReplica() {
    advance(200);
    runRound();
    ServerSample moved =
        ServerSample.ofReplica(Term.of(2), LogPosition.of(100), LogPosition.of(100), Duration.ZERO);
    loop.post(new ServerSampled(BackendServerId.of("c"), moved, clock.now()));
    runRound();
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

  /** Runs a round and returns the servers that it probes. */
  private List<String> runRound() {
    loop.runRound();
    return executor.take(SampleServer.class).stream()
        .map(command -> command.server().id().value())
        .toList();
  }

  /** Posts a sample for the newest probe of each server, with the start of that probe. */
  private void postSamples(String... servers) {
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

package org.persimmonwalk.acknowledgement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.internal.control.configuration.ConfigurationController;
import org.persimmonwalk.internal.control.position.ReplicaPositionController;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.LogPosition;
import org.persimmonwalk.model.ServerRole;
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

class ReplicatedAcknowledgementTest {
  private final FakeClock clock = new FakeClock();
  private final DatabaseGroup group =
      FakeDatabaseGroup.of(3, new FakeLinks(), clock).configuration();
  private final ControlLoop loop =
      ControlLoop.of(
          List.of(ConfigurationController.create(), ReplicaPositionController.create()),
          new RecordingCommandExecutor(),
          clock,
          RandomSource.seeded(1));
  private final List<Observation> requests = new ArrayList<>();
  private final ReplicatedAcknowledgement acknowledgement =
      ReplicatedAcknowledgement.of(2, requests::add);
  private final List<AcknowledgementOutcome> outcomes = new ArrayList<>();

  @BeforeEach
  void loadConfiguration() {
    loop.addListener(acknowledgement);
    Configuration configuration =
        new Configuration(
            Revision.of(1),
            ReleaseNoteId.of("first"),
            Map.of(),
            Map.of(),
            Map.of(group.id(), group));
    loop.post(new ConfigurationLoaded(configuration, clock.now()));
    sample("a", ServerSample.ofPrimary(Term.of(1), LogPosition.of(500)));
  }

  /** Guards against a write that is acknowledged and then lost together with its primary. */
  @Test
  void shouldConfirmOnlyWhenReplicaHasReceivedWrite() {
    register(200);
    sample("b", replica(1, 199));
    assertThat(outcomes).isEmpty();
    sample("c", replica(1, 200));
    assertThat(outcomes).containsExactly(AcknowledgementOutcome.CONFIRMED);
  }

  /** Guards against a write that waits for a sample although the known ones already cover it. */
  @Test
  void shouldConfirmImmediatelyIfReplicaHasAlreadyReceivedWrite() {
    sample("b", replica(1, 300));
    register(200);
    assertThat(outcomes).containsExactly(AcknowledgementOutcome.CONFIRMED);
  }

  /** Guards against confirmation by a position of another term, whose log may have diverged. */
  @Test
  void shouldReportUnknownAfterNewerTerm() {
    register(200);
    sample("b", replica(2, 400));
    assertThat(outcomes).containsExactly(AcknowledgementOutcome.UNKNOWN);
  }

  /**
   * Guards against confirmation by a server that does not follow the primary: its log may have
   * diverged.
   */
  @Test
  void shouldNotConfirmByPositionOfServerThatDoesNotFollowPrimary() {
    LogPosition position = LogPosition.of(400);
    register(200);
    sample("b", new ServerSample(ServerRole.FENCED, Term.of(2), position, position, Duration.ZERO));
    sample("c", replica(0, 400));
    assertThat(outcomes).isEmpty();
  }

  /** Guards against a caller that waits past the deadline, and against a second outcome. */
  @Test
  void shouldReportUnknownAtDeadline() {
    register(200);
    clock.advance(Duration.ofMillis(999));
    loop.runRound();
    assertThat(outcomes).isEmpty();
    clock.advance(Duration.ofMillis(1));
    acknowledgement.expire(clock.now());
    assertThat(outcomes).containsExactly(AcknowledgementOutcome.UNKNOWN);
    sample("b", replica(1, 200));
    assertThat(outcomes).hasSize(1);
  }

  /** Guards against an unbounded number of waiting writes. */
  @Test
  void shouldReportUnknownBeyondLimit() {
    register(200);
    register(201);
    register(202);
    assertThat(acknowledgement.pendingWrites()).isEqualTo(2);
    assertThat(outcomes).containsExactly(AcknowledgementOutcome.UNKNOWN);
  }

  /** Guards against backend servers that are overloaded by probes while writes wait. */
  @Test
  void shouldRequestSamplesAtMostEveryFiveMillisecondsWhileWritesWait() {
    register(200);
    register(201);
    loop.runRound();
    assertThat(requests).containsExactly(new SampleRequested(group.id()));
    clock.advance(Duration.ofMillis(5));
    loop.runRound();
    assertThat(requests).hasSize(2);
    sample("b", replica(1, 201));
    clock.advance(Duration.ofMillis(5));
    loop.runRound();
    assertThat(requests).hasSize(2);
  }

  private void register(long position) {
    GroupPosition written = GroupPosition.of(Term.of(1), LogPosition.of(position));
    acknowledgement.register(
        new PendingWrite(
            group.id(), written, clock.now().plus(Duration.ofSeconds(1)), outcomes::add),
        clock.now());
  }

  private void sample(String server, ServerSample sample) {
    loop.post(new ServerSampled(BackendServerId.of(server), sample, clock.now()));
    loop.runRound();
  }

  private static ServerSample replica(long term, long received) {
    LogPosition position = LogPosition.of(received);
    return ServerSample.ofReplica(Term.of(term), position, position, Duration.ZERO);
  }
}

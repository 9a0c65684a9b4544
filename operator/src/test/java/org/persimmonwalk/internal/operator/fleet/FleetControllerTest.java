package org.persimmonwalk.internal.operator.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.model.HostPhase;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.testing.FakeClock;

class FleetControllerTest {
  private static final Duration LIMIT = Duration.ofSeconds(10);
  private static final SocketEndpoint FIRST = endpoint(1);
  private static final SocketEndpoint SECOND = endpoint(2);

  private final FakeClock clock = new FakeClock();
  private final List<SocketEndpoint> asked = new ArrayList<>();

  /** Guards against a wait that ends while a host is behind, or asks it without a pause. */
  @Test
  void shouldAskAgainUntilEveryHostHasTheRevision() {
    ControlLoop loop = loop(List.of(FIRST, SECOND), FleetGoal.revision(Revision.of(42)));

    loop.runRound();
    assertThat(asked).containsExactly(FIRST, SECOND);
    loop.post(new HostAnswered(FIRST, reported(42)));
    loop.post(new HostAnswered(SECOND, reported(41)));
    loop.runRound();
    assertThat(view(loop).reached()).isEqualTo(1);
    assertThat(asked).hasSize(2);

    clock.advance(Duration.ofMillis(500));
    loop.runRound();
    assertThat(asked).containsExactly(FIRST, SECOND, SECOND);
    loop.post(new HostAnswered(SECOND, reported(43)));
    loop.runRound();
    assertThat(view(loop).reached()).isEqualTo(2);
    assertThat(view(loop).ended()).isTrue();
  }

  /** Guards against a wait without end for a host that is down. */
  @Test
  void shouldEndAtTheLimitAndNameFailures() {
    ControlLoop loop = loop(List.of(FIRST, SECOND), FleetGoal.revision(Revision.of(42)));
    loop.runRound();
    loop.post(new HostAnswered(FIRST, failed()));
    loop.runRound();
    assertThat(view(loop).ended()).isFalse();

    clock.advance(LIMIT);
    loop.runRound();

    assertThat(view(loop).ended()).isTrue();
    assertThat(view(loop).reached()).isZero();
    assertThat(view(loop).failures()).hasSize(1);
    assertThat(view(loop).answers()).doesNotContainKey(SECOND);
  }

  /** Guards against a request to every host of a large fleet at once. */
  @Test
  void shouldBoundRequestsInFlightAndAskEachHostOnce() {
    List<SocketEndpoint> endpoints =
        new ArrayList<>(
            IntStream.rangeClosed(1, 100).mapToObj(FleetControllerTest::endpoint).toList());
    endpoints.add(FIRST);
    ControlLoop loop = loop(endpoints, FleetGoal.oneAnswer());
    loop.runRound();
    assertThat(asked).hasSize(32);

    int answered = 0;
    while (!view(loop).ended()) {
      assertThat(asked.size() - answered).isBetween(1, 32);
      loop.post(new HostAnswered(asked.get(answered++), failed()));
      loop.runRound();
    }

    assertThat(asked).hasSize(100).doesNotHaveDuplicates();
  }

  private ControlLoop loop(List<SocketEndpoint> endpoints, FleetGoal goal) {
    return ControlLoop.of(
        List.of(FleetController.of(endpoints, goal, LIMIT)),
        command -> asked.add(((AskHost) command).endpoint()),
        clock,
        RandomSource.seeded(1));
  }

  private static FleetView view(ControlLoop loop) {
    return loop.snapshot().get(FleetView.ENTRY);
  }

  private static HostAnswer reported(long revision) {
    return new HostAnswer.Reported(
        new HostReport(
            EntryHostId.of("host"),
            AvailabilityZone.of("zone-a"),
            HostPhase.SERVING,
            Revision.of(revision),
            Optional.empty(),
            List.of(),
            List.of(),
            List.of()));
  }

  private static HostAnswer failed() {
    return new HostAnswer.Failed(PersimmonwalkException.of(ResultCode.HOST_UNAVAILABLE, "down"));
  }

  private static SocketEndpoint endpoint(int port) {
    return SocketEndpoint.of("127.0.0.1", port);
  }
}

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
  private final List<SocketEndpoint> polled = new ArrayList<>();

  /**
   * Guards against a poll that ends while a host is behind, or repeats requests without a pause.
   */
  @Test
  void shouldPollAgainUntilEveryHostHasTheRevision() {
    ControlLoop loop = loop(List.of(FIRST, SECOND), FleetGoal.revision(Revision.of(42)));

    loop.runRound();
    assertThat(polled).containsExactly(FIRST, SECOND);
    loop.post(new HostPollCompleted(FIRST, reported(42)));
    loop.post(new HostPollCompleted(SECOND, reported(41)));
    loop.runRound();
    assertThat(view(loop).reached()).isEqualTo(1);
    assertThat(polled).hasSize(2);

    clock.advance(Duration.ofMillis(500));
    loop.runRound();
    assertThat(polled).containsExactly(FIRST, SECOND, SECOND);
    loop.post(new HostPollCompleted(SECOND, reported(43)));
    loop.runRound();
    assertThat(view(loop).reached()).isEqualTo(2);
    assertThat(view(loop).ended()).isTrue();
  }

  /** Guards against a poll that never ends because a host is down. */
  @Test
  void shouldEndAtTheTimeLimitAndReportFailures() {
    ControlLoop loop = loop(List.of(FIRST, SECOND), FleetGoal.revision(Revision.of(42)));
    loop.runRound();
    loop.post(new HostPollCompleted(FIRST, failed()));
    loop.runRound();
    assertThat(view(loop).ended()).isFalse();

    clock.advance(LIMIT);
    loop.runRound();

    assertThat(view(loop).ended()).isTrue();
    assertThat(view(loop).reached()).isZero();
    assertThat(view(loop).failures()).hasSize(1);
    assertThat(view(loop).results()).doesNotContainKey(SECOND);
  }

  /** Guards against requests to every host of a large fleet at once. */
  @Test
  void shouldBoundRequestsInFlightAndPollEachHostOnce() {
    List<SocketEndpoint> endpoints =
        new ArrayList<>(
            IntStream.rangeClosed(1, 100).mapToObj(FleetControllerTest::endpoint).toList());
    endpoints.add(FIRST);
    ControlLoop loop = loop(endpoints, FleetGoal.onePoll());
    loop.runRound();
    assertThat(polled).hasSize(32);

    int completed = 0;
    while (!view(loop).ended()) {
      assertThat(polled.size() - completed).isBetween(1, 32);
      loop.post(new HostPollCompleted(polled.get(completed++), failed()));
      loop.runRound();
    }

    assertThat(polled).hasSize(100).doesNotHaveDuplicates();
  }

  private ControlLoop loop(List<SocketEndpoint> endpoints, FleetGoal goal) {
    return ControlLoop.of(
        List.of(FleetController.of(endpoints, goal, LIMIT)),
        command -> polled.add(((PollHost) command).endpoint()),
        clock,
        RandomSource.seeded(1));
  }

  private static FleetView view(ControlLoop loop) {
    return loop.snapshot().get(FleetView.ENTRY);
  }

  private static HostPollResult reported(long revision) {
    return new HostPollResult.Reported(
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

  private static HostPollResult failed() {
    return new HostPollResult.Failed(
        PersimmonwalkException.of(ResultCode.HOST_UNAVAILABLE, "down"));
  }

  private static SocketEndpoint endpoint(int port) {
    return SocketEndpoint.of("127.0.0.1", port);
  }
}

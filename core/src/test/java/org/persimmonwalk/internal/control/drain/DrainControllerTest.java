package org.persimmonwalk.internal.control.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.command.SendPeerMessage;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.internal.control.configuration.ConfigurationController;
import org.persimmonwalk.internal.control.membership.MembershipController;
import org.persimmonwalk.model.Heartbeat;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.HostPhase;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.observation.ConfigurationLoaded;
import org.persimmonwalk.observation.HostsListed;
import org.persimmonwalk.observation.OpenSessionsCounted;
import org.persimmonwalk.observation.PeerMessageReceived;
import org.persimmonwalk.observation.StopRequested;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.ConfigurationFleet;
import org.persimmonwalk.testing.Configurations;
import org.persimmonwalk.testing.FakeClock;
import org.persimmonwalk.testing.RecordingCommandExecutor;

/** Guards against a host that starts or stops serving callers too early or never. */
class DrainControllerTest {
  private static final HostEntry SELF = ConfigurationFleet.entry("self", "zone-0");

  private final FakeClock clock = new FakeClock();
  private final RecordingCommandExecutor executor = new RecordingCommandExecutor();
  private final ControlLoop loop =
      ControlLoop.of(
          List.of(
              ConfigurationController.create(),
              MembershipController.of(SELF),
              DrainController.create()),
          executor,
          clock,
          RandomSource.seeded(1));

  /** Guards against serving without a configuration, and against waiting forever for peers. */
  @Test
  void shouldServeAfterFirstConfigurationAndTwoSecondsWithoutPeers() {
    clock.advance(Duration.ofMinutes(1));
    loop.runRound();
    assertThat(phase()).isEqualTo(HostPhase.STARTING);

    configure(1);
    clock.advance(Duration.ofMillis(1990));
    loop.runRound();
    assertThat(phase()).isEqualTo(HostPhase.STARTING);

    clock.advance(Duration.ofMillis(10));
    loop.runRound();
    assertThat(phase()).isEqualTo(HostPhase.SERVING);
  }

  /** Guards against serving with a configuration that a peer knows to be outdated. */
  @Test
  void shouldServeOnceItHasHighestRevisionOfPeers() {
    configure(1);
    receiveHeartbeat("peer-1", 1);
    receiveHeartbeat("peer-2", 2);
    receiveHeartbeat("peer-3", 1);
    assertThat(phase()).isEqualTo(HostPhase.STARTING);

    configure(2);
    assertThat(phase()).isEqualTo(HostPhase.SERVING);
  }

  /** Guards against a stop that interrupts a session before the deadline. */
  @Test
  void shouldStopWhenLastSessionHasEnded() {
    serve();
    loop.post(new OpenSessionsCounted(0));
    loop.post(new StopRequested());
    loop.runRound();
    assertThat(phase()).isEqualTo(HostPhase.DRAINING);

    loop.post(new OpenSessionsCounted(0));
    loop.post(new OpenSessionsCounted(1));
    clock.advance(Duration.ofSeconds(19));
    loop.runRound();
    assertThat(phase()).isEqualTo(HostPhase.DRAINING);

    loop.post(new OpenSessionsCounted(0));
    loop.runRound();
    assertThat(phase()).isEqualTo(HostPhase.STOPPED);
  }

  /** Guards against an open session that keeps a host from stopping forever. */
  @Test
  void shouldStopAtDeadline() {
    serve();
    loop.post(new StopRequested());
    loop.runRound();
    assertThat(loop.snapshot().get(Entries.DRAIN_DEADLINE))
        .contains(clock.now().plus(Duration.ofSeconds(20)));

    clock.advance(Duration.ofSeconds(10));
    loop.post(new StopRequested());
    loop.post(new OpenSessionsCounted(3));
    loop.runRound();
    clock.advance(Duration.ofSeconds(10));
    loop.post(new OpenSessionsCounted(3));
    loop.runRound();
    assertThat(phase()).isEqualTo(HostPhase.STOPPED);
  }

  /** Guards against peers that keep giving a stopping host a share of the workspaces' rates. */
  @Test
  void shouldReportPlannedStopToPeersAtOnce() {
    serve();
    loop.post(new HostsListed(List.of(ConfigurationFleet.entry("peer-1", "zone-0")), clock.now()));
    loop.runRound();
    clock.advance(Duration.ofMillis(10));
    loop.post(new StopRequested());
    loop.runRound();
    executor.take(SendPeerMessage.class);

    loop.runRound();

    assertThat(executor.take(SendPeerMessage.class))
        .extracting(sent -> ((Heartbeat) sent.message()).sender().leaving())
        .containsExactly(true);
    assertThat(loop.snapshot().get(Entries.LIVE_HOSTS)).doesNotContain(SELF.id());
  }

  private void serve() {
    configure(1);
    clock.advance(Duration.ofSeconds(2));
    loop.runRound();
    assertThat(phase()).isEqualTo(HostPhase.SERVING);
  }

  private void configure(long revision) {
    loop.post(new ConfigurationLoaded(Configurations.of(revision, 1, 1), clock.now()));
    loop.runRound();
  }

  private void receiveHeartbeat(String peer, long revision) {
    HostEntry sender = ConfigurationFleet.entry(peer, "zone-0");
    Heartbeat heartbeat =
        new Heartbeat(
            sender,
            Revision.of(revision),
            Optional.empty(),
            MonotonicTime.of(1),
            Optional.empty(),
            List.of(),
            Map.of());
    loop.post(new PeerMessageReceived(sender.id(), heartbeat));
    loop.runRound();
  }

  private HostPhase phase() {
    return loop.snapshot().get(Entries.HOST_PHASE);
  }
}

package org.persimmonwalk.internal.control.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.command.SendPeerMessage;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.Heartbeat;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.RelayedHostState;
import org.persimmonwalk.observation.HostsListed;
import org.persimmonwalk.observation.PeerMessageReceived;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.ConfigurationFleet;
import org.persimmonwalk.testing.FakeClock;
import org.persimmonwalk.testing.RecordingCommandExecutor;

/**
 * Guards against live hosts that count as dead, dead ones that count as live, and heartbeat storms.
 */
class MembershipControllerTest {
  private static final HostEntry SELF = ConfigurationFleet.entry("self", "zone-0");
  private static final HostEntry PEER = ConfigurationFleet.entry("peer", "zone-0");
  private static final HostEntry THIRD = ConfigurationFleet.entry("third", "zone-1");

  private final FakeClock clock = new FakeClock();
  private final RecordingCommandExecutor executor = new RecordingCommandExecutor();
  private final ControlLoop loop =
      ControlLoop.of(
          List.of(MembershipController.of(SELF)), executor, clock, RandomSource.seeded(1));

  /** Guards against taking a live host's share of a rate because the host list lags. */
  @Test
  void shouldTrustHeartbeatsOverListThatShowsHostsLeaving() {
    postHostList(PEER.withLeaving(true), THIRD.withLeaving(true));
    assertThat(live()).doesNotContain(PEER.id(), THIRD.id());

    postHeartbeat(PEER, RelayedHostState.of(THIRD, Duration.ofSeconds(2)));
    assertThat(live()).contains(PEER.id(), THIRD.id());

    clock.advance(Duration.ofMillis(3100));
    loop.runRound();
    assertThat(live()).contains(PEER.id()).doesNotContain(THIRD.id());
  }

  /** Guards against giving a share of a rate to a stopping host because the host list lags. */
  @Test
  void shouldTrustLeavingHostOverListThatShowsItLive() {
    postHostList(PEER, THIRD);
    assertThat(live()).contains(PEER.id(), THIRD.id());

    postHeartbeat(
        PEER.withLeaving(true),
        RelayedHostState.of(THIRD.withLeaving(true), Duration.ofSeconds(1)));
    clock.advance(Duration.ofSeconds(10));
    postHostList(PEER, THIRD);

    assertThat(live()).containsExactly(SELF.id());
  }

  /** Guards against old reports that peers relay to each other and that keep a dead host live. */
  @Test
  void shouldNotCountRelayedOldReportAsNew() {
    postHeartbeat(PEER, RelayedHostState.of(THIRD, Duration.ofSeconds(1)));
    clock.advance(Duration.ofSeconds(3));
    postHeartbeat(PEER, RelayedHostState.of(THIRD, Duration.ofSeconds(4)));
    clock.advance(Duration.ofMillis(1500));
    postHeartbeat(PEER, RelayedHostState.of(THIRD, Duration.ofMillis(5500)));

    assertThat(live()).doesNotContain(THIRD.id());
  }

  /** Guards against an unlisted host that stays in the table forever. */
  @Test
  void shouldRemoveUnlistedHostWithoutRecentReport() {
    postHeartbeat(PEER);
    assertThat(loop.snapshot().get(Entries.HOSTS)).containsKey(PEER.id());

    clock.advance(Duration.ofSeconds(61));
    loop.runRound();
    assertThat(loop.snapshot().get(Entries.HOSTS)).isEmpty();
  }

  /** Guards against heartbeats whose number or size grows with the number of hosts. */
  @Test
  void shouldSendFourBoundedHeartbeatsASecond() {
    postHostList(
        IntStream.range(0, 430)
            .mapToObj(index -> ConfigurationFleet.entry("host-" + index, "zone-" + index % 7))
            .toArray(HostEntry[]::new));
    IntStream.range(0, 430)
        .mapToObj(index -> ConfigurationFleet.entry("host-" + index, "zone-" + index % 7))
        .forEach(this::postHeartbeat);
    executor.take(SendPeerMessage.class);

    int seconds = 100;
    int sent = 0;
    int inZone = 0;
    for (int step = 0; step < seconds * 10; step++) {
      clock.advance(Duration.ofMillis(100));
      loop.runRound();
      for (SendPeerMessage message : executor.take(SendPeerMessage.class)) {
        sent++;
        HostEntry target = loop.snapshot().get(Entries.HOSTS).get(message.to());
        inZone += target.zone().equals(SELF.zone()) ? 1 : 0;
        assertThat(((Heartbeat) message.message()).relayedHosts())
            .hasSizeLessThanOrEqualTo(Heartbeat.RELAYED_HOST_LIMIT);
      }
    }

    assertThat(sent).isBetween(seconds * 4 - 40, seconds * 4 + 40);
    assertThat(inZone * 4).isEqualTo(sent * 3);
  }

  /** Guards against replies to replies, and replies without the time of the first heartbeat. */
  @Test
  void shouldNotReplyToReplies() {
    loop.runRound();
    executor.take(SendPeerMessage.class);
    postHeartbeat(PEER);
    assertThat(executor.take(SendPeerMessage.class))
        .filteredOn(sent -> ((Heartbeat) sent.message()).echoedSentAt().isPresent())
        .singleElement()
        .satisfies(
            sent -> {
              assertThat(sent.to()).isEqualTo(PEER.id());
              assertThat(((Heartbeat) sent.message()).echoedSentAt())
                  .contains(MonotonicTime.of(77));
            });

    loop.post(
        new PeerMessageReceived(
            PEER.id(), heartbeat(PEER, Map.of(), Optional.of(clock.now()), List.of())));
    loop.runRound();
    assertThat(executor.take(SendPeerMessage.class)).isEmpty();
  }

  /** Guards against counting the demand of hosts that are no longer live. */
  @Test
  void shouldKeepDemandOfLivePeers() {
    Map<WorkspaceId, Double> demand = Map.of(WorkspaceId.of("oil"), 12.5);
    loop.post(
        new PeerMessageReceived(PEER.id(), heartbeat(PEER, demand, Optional.empty(), List.of())));
    loop.runRound();
    assertThat(loop.snapshot().get(Entries.PEER_DEMAND)).isEqualTo(Map.of(PEER.id(), demand));

    clock.advance(Duration.ofSeconds(6));
    loop.runRound();
    assertThat(loop.snapshot().get(Entries.PEER_DEMAND)).isEmpty();
  }

  /** Guards against a host that sends heartbeats in the name of another host. */
  @Test
  void shouldIgnoreHeartbeatThatNamesAnotherSender() {
    loop.post(
        new PeerMessageReceived(
            THIRD.id(), heartbeat(PEER, new HashMap<>(), Optional.empty(), List.of())));
    loop.runRound();

    assertThat(live()).containsExactly(SELF.id());
  }

  private void postHostList(HostEntry... hosts) {
    loop.post(new HostsListed(List.of(hosts), clock.now()));
    loop.runRound();
  }

  private void postHeartbeat(HostEntry sender, RelayedHostState... relayedHosts) {
    loop.post(
        new PeerMessageReceived(
            sender.id(), heartbeat(sender, Map.of(), Optional.empty(), List.of(relayedHosts))));
    loop.runRound();
  }

  private static Heartbeat heartbeat(
      HostEntry sender,
      Map<WorkspaceId, Double> demand,
      Optional<MonotonicTime> echoedSentAt,
      List<RelayedHostState> relayedHosts) {
    return new Heartbeat(
        sender,
        Revision.of(1),
        Optional.empty(),
        MonotonicTime.of(77),
        echoedSentAt,
        relayedHosts,
        demand);
  }

  private Iterable<EntryHostId> live() {
    return loop.snapshot().get(Entries.LIVE_HOSTS);
  }
}

package org.persimmonwalk.internal.control.membership;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.command.ListHosts;
import org.persimmonwalk.command.SendPeerMessage;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.internal.control.Jitter;
import org.persimmonwalk.model.Heartbeat;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.HostPhase;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.RelayedHostState;
import org.persimmonwalk.observation.HostsListed;
import org.persimmonwalk.observation.PeerMessageReceived;

/**
 * Keeps the set of live entry hosts up to date from the platform's host list and from heartbeats,
 * and exchanges heartbeats with a few peers at a time. It writes entries {@link Entries#HOSTS},
 * {@link Entries#LIVE_HOSTS} and {@link Entries#PEER_DEMAND}.
 */
public final class MembershipController implements Controller {
  private static final Duration LIST_INTERVAL = Duration.ofSeconds(5);
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);

  private final HostTable table = HostTable.create();
  private final PeerDemand demand = PeerDemand.create();
  private final HostEntry self;
  private Optional<MonotonicTime> nextListAt = Optional.empty();
  private Optional<MonotonicTime> nextHeartbeatAt = Optional.empty();
  private boolean announcedLeaving;

  private MembershipController(HostEntry self) {
    this.self = Objects.requireNonNull(self, "self");
  }

  /** Returns the controller of the given entry host. */
  public static MembershipController of(HostEntry self) {
    return new MembershipController(self);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    blackboard
        .observations(HostsListed.class)
        .forEach(listed -> table.applyList(listed, self.id()));
    List<PeerMessageReceived> heartbeats =
        blackboard.observations(PeerMessageReceived.class).filter(this::isHeartbeatOfPeer).toList();
    heartbeats.forEach(received -> applyHeartbeat((Heartbeat) received.message(), now));
    table.removeObsolete(now);
    List<KnownHost> live = table.live(now);
    publish(blackboard, live, now);
    replyToHeartbeats(blackboard, heartbeats, context);
    sendHeartbeatsIfDue(blackboard, live, context);
    if (isDue(nextListAt, now)) {
      nextListAt = Optional.of(Jitter.after(context, LIST_INTERVAL));
      blackboard.submit(new ListHosts());
    }
  }

  private boolean isHeartbeatOfPeer(PeerMessageReceived received) {
    return received.message() instanceof Heartbeat heartbeat
        && heartbeat.sender().id().equals(received.from())
        && !received.from().equals(self.id());
  }

  private void applyHeartbeat(Heartbeat heartbeat, MonotonicTime now) {
    table.applyReport(heartbeat.sender(), now);
    demand.apply(heartbeat, now);
    for (RelayedHostState relayed : heartbeat.relayedHosts()) {
      if (!relayed.host().id().equals(self.id())) {
        table.applyReport(relayed.host(), now.minus(relayed.age()));
      }
    }
  }

  private void publish(Blackboard blackboard, List<KnownHost> live, MonotonicTime now) {
    HostEntry own = ownEntry(blackboard);
    Set<EntryHostId> liveIds = new HashSet<>();
    live.forEach(known -> liveIds.add(known.entry().id()));
    demand.retain(liveIds, now);
    if (!own.leaving()) {
      liveIds.add(own.id());
    }
    blackboard.put(Entries.HOSTS, table.entries());
    blackboard.put(Entries.LIVE_HOSTS, Set.copyOf(liveIds));
    blackboard.put(Entries.PEER_DEMAND, demand.byHost());
  }

  /** Replies to heartbeats that are not replies themselves. */
  private void replyToHeartbeats(
      Blackboard blackboard, List<PeerMessageReceived> heartbeats, RoundContext context) {
    for (PeerMessageReceived received : heartbeats) {
      Heartbeat heartbeat = (Heartbeat) received.message();
      if (heartbeat.echoedSentAt().isEmpty()) {
        blackboard.submit(
            new SendPeerMessage(
                received.from(), heartbeat(blackboard, Optional.of(heartbeat.sentAt()), context)));
      }
    }
  }

  private void sendHeartbeatsIfDue(
      Blackboard blackboard, List<KnownHost> live, RoundContext context) {
    boolean leaving = ownEntry(blackboard).leaving();
    if (!isDue(nextHeartbeatAt, context.now()) && leaving == announcedLeaving) {
      return;
    }
    announcedLeaving = leaving;
    nextHeartbeatAt = Optional.of(Jitter.after(context, HEARTBEAT_INTERVAL));
    for (HostEntry peer : PeerSelection.chooseTargets(live, self.zone(), context.random())) {
      blackboard.submit(
          new SendPeerMessage(peer.id(), heartbeat(blackboard, Optional.empty(), context)));
    }
  }

  private Heartbeat heartbeat(
      Blackboard blackboard, Optional<MonotonicTime> echoedSentAt, RoundContext context) {
    MonotonicTime now = context.now();
    return new Heartbeat(
        ownEntry(blackboard),
        blackboard.get(Entries.CONFIGURATION).revision(),
        blackboard.get(Entries.CONFIGURATION_CURRENT_AT).map(now::since),
        now,
        echoedSentAt,
        PeerSelection.chooseRelayed(table.relayable(now), now, context.random()),
        PeerDemand.highest(blackboard.get(Entries.DEMAND)));
  }

  private HostEntry ownEntry(Blackboard blackboard) {
    HostPhase phase = blackboard.get(Entries.HOST_PHASE);
    return self.withLeaving(phase == HostPhase.DRAINING || phase == HostPhase.STOPPED);
  }

  private static boolean isDue(Optional<MonotonicTime> at, MonotonicTime now) {
    return at.isEmpty() || !now.isBefore(at.get());
  }
}

package org.persimmonwalk.internal.control.membership;

import java.util.ArrayList;
import java.util.List;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.model.Heartbeat;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.RelayedHostState;
import org.persimmonwalk.port.RandomSource;

/** Chooses at random the peers to which heartbeats are sent, and the hosts that they list. */
final class PeerSelection {
  private static final int PEERS_IN_ZONE = 3;
  private static final int PEERS_IN_OTHER_ZONES = 1;

  private PeerSelection() {}

  /**
   * Chooses 3 hosts of the zone and 1 of another zone. If either has too few hosts, the other one
   * supplies more, up to 4 in total.
   */
  static List<HostEntry> chooseTargets(
      List<KnownHost> live, AvailabilityZone zone, RandomSource random) {
    List<HostEntry> inZone = new ArrayList<>();
    List<HostEntry> inOtherZones = new ArrayList<>();
    for (KnownHost known : live) {
      (known.entry().zone().equals(zone) ? inZone : inOtherZones).add(known.entry());
    }
    int total = PEERS_IN_ZONE + PEERS_IN_OTHER_ZONES;
    int fromOtherZones =
        Math.min(inOtherZones.size(), Math.max(PEERS_IN_OTHER_ZONES, total - inZone.size()));
    List<HostEntry> targets = sample(inOtherZones, fromOtherZones, random);
    targets.addAll(sample(inZone, total - targets.size(), random));
    return targets;
  }

  /**
   * Chooses the hosts that a heartbeat lists. Up to half of them are hosts that contradict the host
   * list, because peers learn of their state only from heartbeats.
   */
  static List<RelayedHostState> chooseRelayed(
      List<KnownHost> candidates, MonotonicTime now, RandomSource random) {
    List<KnownHost> contradicting = new ArrayList<>();
    List<KnownHost> others = new ArrayList<>();
    for (KnownHost known : candidates) {
      (known.contradictsListing() ? contradicting : others).add(known);
    }
    List<KnownHost> chosen = sample(contradicting, Heartbeat.RELAYED_HOST_LIMIT / 2, random);
    chosen.addAll(sample(others, Heartbeat.RELAYED_HOST_LIMIT - chosen.size(), random));
    return chosen.stream()
        .map(
            known ->
                RelayedHostState.of(known.entry(), now.since(known.lastReportAt().orElseThrow())))
        .toList();
  }

  /** Chooses items at random, each at most once; all of them if there are too few. */
  private static <T> List<T> sample(List<T> items, int count, RandomSource random) {
    List<T> rest = new ArrayList<>(items);
    List<T> chosen = new ArrayList<>();
    while (chosen.size() < count && !rest.isEmpty()) {
      int index = random.nextInt(rest.size());
      chosen.add(rest.get(index));
      rest.set(index, rest.get(rest.size() - 1));
      rest.remove(rest.size() - 1);
    }
    return chosen;
  }
}

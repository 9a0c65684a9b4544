package org.persimmonwalk.internal.control.membership;

import java.util.ArrayList;
import java.util.List;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.model.Heartbeat;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.HostNews;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.RandomSource;

/** Chooses at random to whom heartbeats go and which hosts they list. */
final class PeerChoice {
  private static final int ZONE_PEERS = 3;
  private static final int OTHER_PEERS = 1;

  private PeerChoice() {}

  /**
   * Chooses 3 hosts of the zone and 1 of another zone. A zone with too few hosts is made up for by
   * the others.
   */
  static List<HostEntry> targets(List<KnownHost> live, AvailabilityZone zone, RandomSource random) {
    List<HostEntry> inZone = new ArrayList<>();
    List<HostEntry> elsewhere = new ArrayList<>();
    for (KnownHost known : live) {
      (known.entry().zone().equals(zone) ? inZone : elsewhere).add(known.entry());
    }
    int total = ZONE_PEERS + OTHER_PEERS;
    int fromElsewhere = Math.min(elsewhere.size(), Math.max(OTHER_PEERS, total - inZone.size()));
    List<HostEntry> targets = sample(elsewhere, fromElsewhere, random);
    targets.addAll(sample(inZone, total - targets.size(), random));
    return targets;
  }

  /**
   * Chooses the hosts that a heartbeat lists. Up to half of the places go to hosts of which the
   * host list says something else, since peers learn of those in no other way.
   */
  static List<HostNews> news(List<KnownHost> candidates, MonotonicTime now, RandomSource random) {
    List<KnownHost> contradicting = new ArrayList<>();
    List<KnownHost> others = new ArrayList<>();
    for (KnownHost known : candidates) {
      (known.contradictsListing() ? contradicting : others).add(known);
    }
    List<KnownHost> chosen = sample(contradicting, Heartbeat.HEARD_LIMIT / 2, random);
    chosen.addAll(sample(others, Heartbeat.HEARD_LIMIT - chosen.size(), random));
    return chosen.stream()
        .map(known -> HostNews.of(known.entry(), now.since(known.heardAt().orElseThrow())))
        .toList();
  }

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

package org.persimmonwalk.internal.control.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.observation.HostsListed;

/** The other entry hosts that this host knows. */
final class HostTable {
  /** Bounds the memory for hosts that only peers name; above the 430 hosts of the target size. */
  private static final int UNLISTED_LIMIT = 1024;

  /** Sorted, so that the same seed leads to the same choices. */
  private final Map<EntryHostId, KnownHost> hosts = new TreeMap<>();

  private Optional<MonotonicTime> listedAt = Optional.empty();

  /** Kept until an entry changes, since most rounds change none. */
  private Optional<Map<EntryHostId, HostEntry>> entries = Optional.empty();

  private HostTable() {}

  static HostTable create() {
    return new HostTable();
  }

  /** Takes a host list unless a newer one has been taken. */
  void apply(HostsListed listed, EntryHostId self) {
    if (listedAt.isPresent() && listed.startedAt().isBefore(listedAt.get())) {
      return;
    }
    listedAt = Optional.of(listed.startedAt());
    Set<EntryHostId> named = new HashSet<>();
    for (HostEntry entry : listed.hosts()) {
      if (!entry.id().equals(self) && named.add(entry.id())) {
        KnownHost known = hosts.get(entry.id());
        put(known == null ? KnownHost.listed(entry) : known.withListing(entry));
      }
    }
    hosts.replaceAll((id, known) -> named.contains(id) ? known : known.withoutListing());
  }

  /** Takes a statement of another host. */
  void apply(HostEntry stated, MonotonicTime statedAt) {
    KnownHost known = hosts.get(stated.id());
    if (known != null) {
      put(known.withStatement(stated, statedAt));
    } else if (unlisted() < UNLISTED_LIMIT) {
      put(KnownHost.heard(stated, statedAt));
    }
  }

  void removeObsolete(MonotonicTime now) {
    if (hosts.values().removeIf(known -> known.isObsolete(now))) {
      entries = Optional.empty();
    }
  }

  List<KnownHost> live(MonotonicTime now) {
    return hosts.values().stream().filter(known -> known.isLive(now)).toList();
  }

  List<KnownHost> news(MonotonicTime now) {
    return hosts.values().stream().filter(known -> known.isNews(now)).toList();
  }

  Map<EntryHostId, HostEntry> entries() {
    if (entries.isEmpty()) {
      Map<EntryHostId, HostEntry> copy = new HashMap<>();
      hosts.forEach((id, known) -> copy.put(id, known.entry()));
      entries = Optional.of(Map.copyOf(copy));
    }
    return entries.get();
  }

  private void put(KnownHost host) {
    KnownHost before = hosts.put(host.entry().id(), host);
    if (before == null || !before.entry().equals(host.entry())) {
      entries = Optional.empty();
    }
  }

  private long unlisted() {
    return hosts.values().stream().filter(known -> known.listing().isEmpty()).count();
  }
}

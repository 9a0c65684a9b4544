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

/** The other entry hosts that this host knows of, live or not. */
final class HostTable {
  /**
   * Bounds the memory for hosts that are known from heartbeats only; above the 430 hosts of the
   * target size.
   */
  private static final int UNLISTED_LIMIT = 1024;

  /** Sorted, so that the same random seed leads to the same choices. */
  private final Map<EntryHostId, KnownHost> hosts = new TreeMap<>();

  private Optional<MonotonicTime> listedAt = Optional.empty();

  /** The cached result of {@link #entries()}, because most rounds change no entry. */
  private Optional<Map<EntryHostId, HostEntry>> entries = Optional.empty();

  private HostTable() {}

  static HostTable create() {
    return new HostTable();
  }

  /** Applies a host list, unless one whose read started later has been applied. */
  void applyList(HostsListed listed, EntryHostId self) {
    if (listedAt.isPresent() && listed.startedAt().isBefore(listedAt.get())) {
      return;
    }
    listedAt = Optional.of(listed.startedAt());
    Set<EntryHostId> listedIds = new HashSet<>();
    for (HostEntry entry : listed.hosts()) {
      if (!entry.id().equals(self) && listedIds.add(entry.id())) {
        KnownHost known = hosts.get(entry.id());
        put(known == null ? KnownHost.ofListing(entry) : known.withListing(entry));
      }
    }
    hosts.replaceAll((id, known) -> listedIds.contains(id) ? known : known.withoutListing());
  }

  /** Applies a report that another host made of itself at the given time. */
  void applyReport(HostEntry reported, MonotonicTime reportedAt) {
    KnownHost known = hosts.get(reported.id());
    if (known != null) {
      put(known.withReport(reported, reportedAt));
    } else if (countUnlisted() < UNLISTED_LIMIT) {
      put(KnownHost.ofReport(reported, reportedAt));
    }
  }

  /** Removes hosts that the list does not contain and that have no recent report. */
  void removeObsolete(MonotonicTime now) {
    if (hosts.values().removeIf(known -> known.isObsolete(now))) {
      entries = Optional.empty();
    }
  }

  List<KnownHost> live(MonotonicTime now) {
    return hosts.values().stream().filter(known -> known.isLive(now)).toList();
  }

  /** Returns the hosts whose newest reports may be relayed to peers. */
  List<KnownHost> relayable(MonotonicTime now) {
    return hosts.values().stream().filter(known -> known.isRelayable(now)).toList();
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

  private long countUnlisted() {
    return hosts.values().stream().filter(known -> known.listing().isEmpty()).count();
  }
}

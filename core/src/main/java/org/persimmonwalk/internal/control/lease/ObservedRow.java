package org.persimmonwalk.internal.control.lease;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.GrantId;
import org.persimmonwalk.model.Grant;
import org.persimmonwalk.model.GrantRow;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.observation.TableRowRead;

/** A row as last read, and the time at which each of its grants was first seen. */
final class ObservedRow {
  private final Map<EntryHostId, FirstSeen> firstSeen = new HashMap<>();
  private GrantRow grantRow = GrantRow.of(0, Map.of());
  private RowVersion version = RowVersion.ABSENT;

  private ObservedRow() {}

  static ObservedRow unread() {
    return new ObservedRow();
  }

  GrantRow grantRow() {
    return grantRow;
  }

  RowVersion version() {
    return version;
  }

  Optional<Grant> grant(EntryHostId host) {
    return Optional.ofNullable(grantRow.grants().get(host));
  }

  /**
   * Applies a read unless a newer version was read before, and returns whether it was applied. The
   * time must not be earlier than the arrival of the answer: a grant in it may have been written
   * until then.
   */
  boolean update(TableRowRead read, MonotonicTime now) {
    if (read.version().compareTo(version) < 0) {
      return false;
    }
    version = read.version();
    grantRow = read.value().map(GrantRow.class::cast).orElse(GrantRow.of(0, Map.of()));
    firstSeen.keySet().retainAll(grantRow.grants().keySet());
    grantRow.grants().forEach((host, grant) -> updateFirstSeen(host, grant, now));
    return true;
  }

  /** Returns the grants that their holders may still use. */
  Map<EntryHostId, Grant> unexpired(MonotonicTime now) {
    Map<EntryHostId, Grant> grants = new HashMap<>(grantRow.grants());
    grants.entrySet().removeIf(entry -> hasExpired(entry.getKey(), entry.getValue(), now));
    return grants;
  }

  private void updateFirstSeen(EntryHostId host, Grant grant, MonotonicTime now) {
    FirstSeen known = firstSeen.get(host);
    if (known == null || !known.id().equals(grant.id())) {
      firstSeen.put(host, new FirstSeen(grant.id(), now));
    }
  }

  private boolean hasExpired(EntryHostId host, Grant grant, MonotonicTime now) {
    Duration age = now.since(firstSeen.get(host).time());
    return age.compareTo(LeaseSettings.reclaimAfter(grant)) >= 0;
  }

  /** The current grant of a host and the time at which it was first read. */
  private record FirstSeen(GrantId id, MonotonicTime time) {}
}

package org.persimmonwalk.internal.control.lease;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.GrantId;
import org.persimmonwalk.model.Grant;
import org.persimmonwalk.model.GrantTable;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.observation.TableRowRead;

/** A row as last read, and since when each grant has been seen in it without change. */
final class ObservedRow {
  private final Map<EntryHostId, Seen> seen = new HashMap<>();
  private GrantTable table = GrantTable.of(0, Map.of());
  private RowVersion version = RowVersion.ABSENT;

  private ObservedRow() {}

  static ObservedRow unread() {
    return new ObservedRow();
  }

  GrantTable table() {
    return table;
  }

  RowVersion version() {
    return version;
  }

  Optional<Grant> grant(EntryHostId host) {
    return Optional.ofNullable(table.grants().get(host));
  }

  /**
   * Takes note of a read unless a newer version was read before, and returns whether it did. The
   * time must not precede the answer: the grant may have been written until then.
   */
  boolean note(TableRowRead read, MonotonicTime now) {
    if (read.version().compareTo(version) < 0) {
      return false;
    }
    version = read.version();
    table = read.value().map(GrantTable.class::cast).orElse(GrantTable.of(0, Map.of()));
    seen.keySet().retainAll(table.grants().keySet());
    table.grants().forEach((host, grant) -> noteGrant(host, grant, now));
    return true;
  }

  /** Returns the grants that their holders may still use; those surely over are left out. */
  Map<EntryHostId, Grant> unexpired(MonotonicTime now) {
    Map<EntryHostId, Grant> grants = new HashMap<>(table.grants());
    grants.entrySet().removeIf(entry -> isSurelyOver(entry.getKey(), entry.getValue(), now));
    return grants;
  }

  private void noteGrant(EntryHostId host, Grant grant, MonotonicTime now) {
    Seen known = seen.get(host);
    if (known == null || !known.id().equals(grant.id())) {
      seen.put(host, new Seen(grant.id(), now));
    }
  }

  private boolean isSurelyOver(EntryHostId host, Grant grant, MonotonicTime now) {
    Duration age = now.since(seen.get(host).first());
    return age.compareTo(LeaseSettings.reclaimAfter(grant)) >= 0;
  }

  private record Seen(GrantId id, MonotonicTime first) {}
}

package org.persimmonwalk.internal.control.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.HostPhase;
import org.persimmonwalk.model.TableRow;

/**
 * The entry hosts that divide the rows between them, from the view of this host. If the view is
 * wrong, a host may get fewer units than its part, but units are never used twice.
 *
 * @param self this host
 * @param live the live hosts; empty until the first are known
 * @param stopping whether this host is stopping and returns its grants
 */
public record Fleet(EntryHostId self, Set<EntryHostId> live, boolean stopping) {

  /** Copies the hosts. */
  public Fleet {
    live = Set.copyOf(live);
  }

  /** Returns the fleet according to the blackboard of the given host. */
  public static Fleet of(EntryHostId self, Blackboard blackboard) {
    return new Fleet(
        self,
        blackboard.get(Entries.LIVE_HOSTS),
        blackboard.get(Entries.HOST_PHASE) == HostPhase.STOPPED);
  }

  /** Returns whether any live host is known, so that a row can be divided. */
  boolean isKnown() {
    return !live.isEmpty();
  }

  /** Returns this host's equal part of the total in whole units; 0 while it is stopping. */
  long target(TableRow row, long total) {
    if (stopping) {
      return 0;
    }
    Set<EntryHostId> hosts = new TreeSet<>(live);
    hosts.add(self);
    long remainder = total % hosts.size();
    long part = total / hosts.size();
    return rank(row, hosts) < remainder ? part + 1 : part;
  }

  /** Returns the live hosts other than this one, in ascending order. */
  List<EntryHostId> peers() {
    List<EntryHostId> peers = new ArrayList<>(live);
    peers.remove(self);
    peers.sort(null);
    return peers;
  }

  /**
   * Returns this host's rank for the row. The order depends on the row, so that the remainders of
   * different rows go to different hosts.
   */
  private long rank(TableRow row, Set<EntryHostId> hosts) {
    int ownHash = hash(row, self);
    return hosts.stream()
        .filter(host -> !host.equals(self))
        .filter(host -> precedes(hash(row, host), host, ownHash))
        .count();
  }

  private boolean precedes(int hash, EntryHostId host, int ownHash) {
    return hash < ownHash || (hash == ownHash && host.compareTo(self) < 0);
  }

  private static int hash(TableRow row, EntryHostId host) {
    int hash = (row.row() + "/" + host.value()).hashCode() * 0x9E3779B1;
    return hash ^ (hash >>> 15);
  }
}

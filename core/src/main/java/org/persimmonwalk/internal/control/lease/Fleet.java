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
 * The hosts that share the rows, as this host believes. A wrong belief costs share and never leads
 * to units being used twice.
 *
 * @param self this host
 * @param live live hosts; empty as long as none is known
 * @param stopping whether this host gives back what it holds
 */
public record Fleet(EntryHostId self, Set<EntryHostId> live, boolean stopping) {

  /** Copies the hosts. */
  public Fleet {
    live = Set.copyOf(live);
  }

  /** Returns the fleet that the blackboard shows to the given host. */
  public static Fleet of(EntryHostId self, Blackboard blackboard) {
    return new Fleet(
        self,
        blackboard.get(Entries.LIVE_HOSTS),
        blackboard.get(Entries.HOST_PHASE) == HostPhase.STOPPED);
  }

  /** Returns whether the hosts are known well enough to divide a row between them. */
  boolean isKnown() {
    return !live.isEmpty();
  }

  /** Returns this host's equal part of the total, in whole units. */
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

  /** Returns the peers that are believed to be live. */
  List<EntryHostId> peers() {
    List<EntryHostId> peers = new ArrayList<>(live);
    peers.remove(self);
    peers.sort(null);
    return peers;
  }

  /** Ranks hosts differently for each row, so that the remainders do not go to the same hosts. */
  private long rank(TableRow row, Set<EntryHostId> hosts) {
    int own = mix(row, self);
    return hosts.stream()
        .filter(host -> !host.equals(self))
        .filter(host -> precedes(mix(row, host), host, own))
        .count();
  }

  private boolean precedes(int mixed, EntryHostId host, int own) {
    return mixed < own || (mixed == own && host.compareTo(self) < 0);
  }

  private static int mix(TableRow row, EntryHostId host) {
    int mixed = (row.row() + "/" + host.value()).hashCode() * 0x9E3779B1;
    return mixed ^ (mixed >>> 15);
  }
}

package org.persimmonwalk.internal.control.primary;

import java.time.Duration;
import java.util.Set;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.port.RandomSource;

/**
 * Ranks the live hosts in an order that differs from group to group. Hosts of a higher rank act
 * later, so that usually only the first one does.
 */
final class HostRank {
  /**
   * From this rank on, all hosts wait this many steps and differ by jitter only, so that dead hosts
   * that still count as live do not add to the delay.
   */
  private static final int MAX_DELAY_STEPS = 5;

  // FNV-1a over the characters, then the finalizer of SplitMix64.
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long SPLIT_MIX_FIRST = 0xbf58476d1ce4e5b9L;
  private static final long SPLIT_MIX_SECOND = 0x94d049bb133111ebL;

  private HostRank() {}

  /** Returns the number of live hosts that come before the given one by rendezvous hash. */
  static int of(EntryHostId host, DatabaseGroupId group, Set<EntryHostId> liveHosts) {
    long own = weight(host, group);
    return (int)
        liveHosts.stream()
            .filter(other -> !other.equals(host))
            .filter(other -> isBefore(weight(other, group), other, own, host))
            .count();
  }

  /** Returns how long a host of the given rank waits for the hosts before it to act. */
  static Duration delay(int rank, Duration step, RandomSource random) {
    Duration delay = step.multipliedBy(Math.min(rank, MAX_DELAY_STEPS));
    return rank < MAX_DELAY_STEPS ? delay : delay.plus(jitter(step, random));
  }

  /** Returns a random time below the given one, in whole milliseconds. */
  static Duration jitter(Duration bound, RandomSource random) {
    return Duration.ofMillis(random.nextInt((int) Math.max(1, bound.toMillis())));
  }

  private static boolean isBefore(
      long weight, EntryHostId host, long otherWeight, EntryHostId other) {
    return weight == otherWeight ? host.compareTo(other) < 0 : weight < otherWeight;
  }

  private static long weight(EntryHostId host, DatabaseGroupId group) {
    long hash = FNV_OFFSET;
    String text = group.value() + ' ' + host.value();
    for (int index = 0; index < text.length(); index++) {
      hash = (hash ^ text.charAt(index)) * FNV_PRIME;
    }
    hash = (hash ^ (hash >>> 30)) * SPLIT_MIX_FIRST;
    hash = (hash ^ (hash >>> 27)) * SPLIT_MIX_SECOND;
    return hash ^ (hash >>> 31);
  }
}

package org.persimmonwalk.bench.capacity;

/**
 * Numbers of requests that the platform store has answered.
 *
 * @param configurationReads reads of the configuration row
 * @param leaseReads reads of all other rows, which hold leases
 * @param writes compare-and-set writes that took effect
 * @param conflicts compare-and-set writes refused because the row had another version
 * @param hostLists reads of the host list
 */
record StoreCounts(
    long configurationReads, long leaseReads, long writes, long conflicts, long hostLists) {
  static final StoreCounts NONE = new StoreCounts(0, 0, 0, 0, 0);

  StoreCounts plusRead(boolean configuration) {
    return configuration
        ? new StoreCounts(configurationReads + 1, leaseReads, writes, conflicts, hostLists)
        : new StoreCounts(configurationReads, leaseReads + 1, writes, conflicts, hostLists);
  }

  StoreCounts plusWrite(boolean done) {
    return done
        ? new StoreCounts(configurationReads, leaseReads, writes + 1, conflicts, hostLists)
        : new StoreCounts(configurationReads, leaseReads, writes, conflicts + 1, hostLists);
  }

  StoreCounts plusHostList() {
    return new StoreCounts(configurationReads, leaseReads, writes, conflicts, hostLists + 1);
  }

  StoreCounts minus(StoreCounts earlier) {
    return new StoreCounts(
        configurationReads - earlier.configurationReads,
        leaseReads - earlier.leaseReads,
        writes - earlier.writes,
        conflicts - earlier.conflicts,
        hostLists - earlier.hostLists);
  }
}

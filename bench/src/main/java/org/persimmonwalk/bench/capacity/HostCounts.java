package org.persimmonwalk.bench.capacity;

/**
 * What the control thread of one simulated host has done.
 *
 * @param processorNanoseconds processor time of rounds, commands and the decoding of answers
 * @param rounds rounds of the control loop
 * @param messages messages sent to peers
 * @param messageBytes bytes of these messages with their length prefix
 * @param storeBytes bytes of rows written and read, without HTTP headers
 * @param probes samples asked of backend servers
 * @param refusedProbes samples not asked because the host has no connection to the server
 */
record HostCounts(
    long processorNanoseconds,
    long rounds,
    long messages,
    long messageBytes,
    long storeBytes,
    long probes,
    long refusedProbes) {

  HostCounts minus(HostCounts earlier) {
    return new HostCounts(
        processorNanoseconds - earlier.processorNanoseconds,
        rounds - earlier.rounds,
        messages - earlier.messages,
        messageBytes - earlier.messageBytes,
        storeBytes - earlier.storeBytes,
        probes - earlier.probes,
        refusedProbes - earlier.refusedProbes);
  }
}

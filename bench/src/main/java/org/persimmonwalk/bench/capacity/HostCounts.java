package org.persimmonwalk.bench.capacity;

/**
 * Work of the control thread of one simulated host since its start.
 *
 * @param processorNanoseconds processor time of rounds, of commands and of decoding the answers
 * @param rounds rounds of the control loop
 * @param messages messages sent to peers
 * @param messageBytes bytes of these messages, including their length prefixes
 * @param storeBytes bytes of rows and objects written and read, without HTTP headers
 * @param probes probes sent to backend servers
 * @param refusedProbes probes not sent because the host may not open a connection to the server
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

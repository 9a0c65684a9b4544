package org.persimmonwalk.engine;

/**
 * What clients, servers and other hosts may take of the machine of an entry host.
 *
 * @param trafficBytes the bytes that the host may keep for callers, servers and calls
 * @param callerConnections the connections at the port for callers
 * @param peerConnections the connections at the port for other hosts
 * @param statusConnections the connections at each of the ports for readiness and metrics
 */
public record HostLimits(
    long trafficBytes, int callerConnections, int peerConnections, int statusConnections) {

  /** A buffer that grows is copied, and a message is decoded from one form into another. */
  private static final long HEAP_DIVISOR = 3;

  /** What the process takes beside its heap and buffers: code, classes and stacks. */
  private static final long PROCESS_BYTES = 64L << 20;

  /** Several messages of the longest size, so that a small machine still serves one. */
  private static final long MINIMUM_TRAFFIC_BYTES = 4L << 20;

  /** Descriptors for the jar, the logs and the files of the Java runtime. */
  private static final int FILE_DESCRIPTORS = 200;

  /** Callers take a half; what no port takes is left for servers and the store. */
  private static final int CALLER_DIVISOR = 2;

  /** The largest fleet has 142 hosts, and the smallest number of descriptors leaves 319. */
  private static final int PEER_DIVISOR = 6;

  private static final int STATUS_DIVISOR = 24;

  /**
   * Returns the limits for a process.
   *
   * @param heapBytes the most memory that its heap may take
   * @param memoryBytes the memory of its machine; 0 if unknown
   * @param descriptors the descriptors that it may open; 0 if unknown, and then none is limited
   */
  public static HostLimits of(long heapBytes, long memoryBytes, int descriptors) {
    long trafficBytes = heapBytes / HEAP_DIVISOR;
    if (memoryBytes > 0) {
      // Buffers that grow take up to twice the bytes that they hold.
      trafficBytes = Math.min(trafficBytes, (memoryBytes - heapBytes - PROCESS_BYTES) / 2);
    }
    int connections =
        descriptors == 0 ? Integer.MAX_VALUE : Math.max(0, descriptors - FILE_DESCRIPTORS);
    return new HostLimits(
        Math.max(MINIMUM_TRAFFIC_BYTES, trafficBytes),
        Math.max(1, connections / CALLER_DIVISOR),
        Math.max(1, connections / PEER_DIVISOR),
        Math.max(1, connections / STATUS_DIVISOR));
  }
}

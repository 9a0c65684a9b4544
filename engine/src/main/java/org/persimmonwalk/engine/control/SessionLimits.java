package org.persimmonwalk.engine.control;

/**
 * How much prepared statements and variables sessions may hold. Without limits one caller could
 * fill the heap, and whichever session allocates next would fail.
 *
 * @param entriesPerSession the prepared statements and variables of one session
 * @param bytesPerSession the length of the names and texts of one session
 * @param bytesPerHost the length of the names and texts of all sessions of a host
 * @param bytesPerConnection the length of the statements prepared on one server connection
 */
public record SessionLimits(
    int entriesPerSession, long bytesPerSession, long bytesPerHost, long bytesPerConnection) {

  /** A session of an application prepares tens of statements. */
  private static final int ENTRIES_PER_SESSION = 1000;

  /** The sessions together may hold a quarter of the heap; the rest is for traffic and control. */
  private static final long HOST_DIVISOR = 4;

  /** A session may hold two statements of the longest message, 1 MiB, in a heap of 48 MB. */
  private static final long SESSION_DIVISOR = 16;

  /** A host has tens of connections, and what they keep outlives the sessions. */
  private static final long CONNECTION_DIVISOR = 64;

  /**
   * Returns the limits for a process.
   *
   * @param heapBytes the most memory that its heap may take
   */
  public static SessionLimits of(long heapBytes) {
    return new SessionLimits(
        ENTRIES_PER_SESSION,
        heapBytes / SESSION_DIVISOR,
        heapBytes / HOST_DIVISOR,
        heapBytes / CONNECTION_DIVISOR);
  }
}

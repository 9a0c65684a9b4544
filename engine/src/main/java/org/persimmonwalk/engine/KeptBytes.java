package org.persimmonwalk.engine;

/**
 * The account of what a host keeps for a connection beyond a message, such as variables and
 * prepared statements. Used on the traffic thread.
 */
public interface KeptBytes {
  /**
   * What an entry takes of the heap besides its characters: an entry of a map and two strings.
   * Without it, a thousand variables of two characters count as 4 KB and take 130 KB.
   */
  long ENTRY_BYTES = 128;

  /** Counts bytes; returns false if the connection is closed because the budget is spent. */
  boolean keep(long bytes);

  /** Ends the counting of bytes that were counted. */
  void release(long bytes);
}

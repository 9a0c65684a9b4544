package org.persimmonwalk.model;

/** A position in the write-ahead log of a database group, in bytes (a PostgreSQL LSN). */
public record LogPosition(long bytes) implements Comparable<LogPosition> {

  /** The start of the log. */
  public static final LogPosition ZERO = new LogPosition(0);

  private static final int HALF_BITS = 32;
  private static final int HEXADECIMAL = 16;

  /** Checks that the position is not negative. */
  public LogPosition {
    if (bytes < 0) {
      throw new IllegalArgumentException("log position " + bytes + " is negative");
    }
  }

  /**
   * Returns the position at the given offset in bytes.
   *
   * @throws IllegalArgumentException if the offset is negative
   */
  public static LogPosition of(long bytes) {
    return new LogPosition(bytes);
  }

  /**
   * Reads a position in PostgreSQL's notation, for example {@code 16/B374D848}.
   *
   * @throws IllegalArgumentException if the text is not in that notation
   */
  public static LogPosition parse(String text) {
    int slash = text.indexOf('/');
    if (slash < 1) {
      throw new IllegalArgumentException(
          "log position '" + text + "' is not of the form X/X, such as 16/B374D848");
    }
    long high = Long.parseLong(text.substring(0, slash), HEXADECIMAL);
    long low = Long.parseLong(text.substring(slash + 1), HEXADECIMAL);
    return new LogPosition((high << HALF_BITS) | low);
  }

  /** Returns whether this position is at or after the other one. */
  public boolean covers(LogPosition other) {
    return bytes >= other.bytes;
  }

  @Override
  public int compareTo(LogPosition other) {
    return Long.compare(bytes, other.bytes);
  }

  @Override
  public String toString() {
    return String.format("%X/%X", bytes >>> HALF_BITS, bytes & 0xFFFFFFFFL);
  }
}

package org.persimmonwalk.engine;

/**
 * Decides when a caller's connection is not read for a while and when it is closed. Times are
 * counted in periodic checks, one a second, so that a host that was suspended does not count the
 * suspension against its callers.
 */
public final class CallerLimits {
  /** Callers send their START within 2 s, or give up. */
  private static final int START_CHECKS = 10;

  /** As above, when all connections are taken. */
  private static final int START_CHECKS_WHEN_FULL = 3;

  /** The longest deadline of a statement is about 6 s. */
  private static final int LINE_CHECKS = 30;

  private static final int ANSWER_CHECKS = 20;

  /** Callers send one statement at a time; a few are read ahead. */
  private static final int STATEMENTS_AHEAD = 4;

  private static final long BYTES_AHEAD = 256 * 1024;

  private CallerLimits() {}

  /** What a connection is waiting for. */
  public enum Wait {
    /** Nothing that is limited. */
    NONE,
    /** The first message. */
    START,
    /** The rest of a line. */
    LINE,
    /** That the caller reads an answer. */
    READER
  }

  /** Returns whether more is read of a caller, of which a number of statements has no answer. */
  public static boolean readsAhead(int statements, long bytes) {
    return statements <= 1 || statements < STATEMENTS_AHEAD && bytes < BYTES_AHEAD;
  }

  /** Returns whether a connection has waited too long. */
  public static boolean isOver(Wait wait, int checks, boolean full) {
    return switch (wait) {
      case NONE -> false;
      case START -> checks > (full ? START_CHECKS_WHEN_FULL : START_CHECKS);
      case LINE -> checks > LINE_CHECKS;
      case READER -> checks > ANSWER_CHECKS;
    };
  }
}

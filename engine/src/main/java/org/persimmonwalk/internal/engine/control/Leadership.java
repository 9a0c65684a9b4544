package org.persimmonwalk.internal.engine.control;

import java.util.Optional;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;

/**
 * The leadership row of a group: its primary, or the replacement in progress.
 *
 * @param server the primary, or the one that is being replaced
 * @param startedAtMillis when that server's process started, which tells restarts apart
 * @param switchAtMillis in the phase SWITCHING, the store's time at which hosts that know the row
 *     stop using the server. It counts from when the row was sent; the store may have performed the
 *     call later, so it tells nothing of hosts that do not know the row.
 */
record Leadership(Phase phase, BackendServerId server, long startedAtMillis, long switchAtMillis) {

  private static final String TABLE = "leadership";
  private static final String SEPARATOR = " ";
  private static final int PARTS = 4;

  /** The server named in the leadership row of a group whose primary isn't known. */
  static final BackendServerId NO_SERVER = BackendServerId.of("none");

  /** The switch time of a server that was never in use: it is over at all hosts. */
  private static final long NEVER_IN_USE = 0;

  private static final Leadership UNREADABLE = new Leadership(Phase.MOVING, NO_SERVER, 0, 0);

  /** The progress of a replacement. */
  enum Phase {
    /** The server is the primary. */
    STABLE,
    /** The server is the primary until the switch time. */
    SWITCHING,
    /** The server is no longer the primary, and no other one is recorded yet. */
    MOVING
  }

  /** Returns the row after the server became the primary. */
  static Leadership stable(ServerEntry server) {
    return new Leadership(Phase.STABLE, server.id(), server.startedAtMillis(), 0);
  }

  /**
   * Returns the row after a draining server was promoted only for its log. It must not be used for
   * longer than it drains, so it is to be replaced at once, and nothing is sent to it meanwhile.
   */
  static Leadership promotedForItsLog(ServerEntry server) {
    return new Leadership(Phase.SWITCHING, server.id(), server.startedAtMillis(), NEVER_IN_USE);
  }

  /** Returns whether hosts that don't know this row may still use the server, by an earlier row. */
  boolean mayBeInUse() {
    return phase != Phase.SWITCHING || switchAtMillis != NEVER_IN_USE;
  }

  /** Returns the row that announces the replacement of whichever server the given row names. */
  static Leadership moving(StoredRow row) {
    return parse(row)
        .map(known -> new Leadership(Phase.MOVING, known.server(), known.startedAtMillis(), 0))
        .orElse(UNREADABLE);
  }

  static RowKey row(DatabaseGroupId group) {
    return RowKey.ofName(TABLE, group.value());
  }

  /**
   * Parses the row; empty if it does not exist. A row that can't be read, which another program or
   * a newer version may have written, reads as a replacement in progress: no host then uses a
   * primary that may have been replaced, and the hosts find the primary anew.
   */
  static Optional<Leadership> parse(StoredRow row) {
    return row.exists() ? Optional.of(read(row).orElse(UNREADABLE)) : Optional.empty();
  }

  /** Returns whether the row exists and can't be read. */
  static boolean isUnreadable(StoredRow row) {
    return row.exists() && read(row).isEmpty();
  }

  private static Optional<Leadership> read(StoredRow row) {
    String[] parts = row.value().split(SEPARATOR, PARTS + 1);
    if (parts.length != PARTS) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new Leadership(
              Phase.valueOf(parts[0]),
              BackendServerId.ofExternal(parts[1]),
              Long.parseLong(parts[2]),
              Long.parseLong(parts[3])));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  String text() {
    return String.join(
        SEPARATOR,
        phase.name(),
        server.value(),
        Long.toString(startedAtMillis),
        Long.toString(switchAtMillis));
  }
}

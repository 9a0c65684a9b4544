package org.persimmonwalk.routing;

import java.util.Objects;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.MonotonicTime;

/** The lowest position that a server must have replayed to serve a session's reads. */
public sealed interface MinimumPosition {

  /** Returns the minimum position of a session that has written nothing. */
  static MinimumPosition none() {
    return None.INSTANCE;
  }

  /** Returns the minimum position of a session whose last write ended at the given position. */
  static MinimumPosition known(GroupPosition position) {
    return new Known(position);
  }

  /**
   * Returns the minimum position of a session that may have written through another host before the
   * given time.
   */
  static MinimumPosition unknown(MonotonicTime declaredAt) {
    return new Unknown(declaredAt);
  }

  /** The session has written nothing. */
  enum None implements MinimumPosition {
    /** The only value. */
    INSTANCE
  }

  /** The session's last write ended at the position. */
  record Known(GroupPosition position) implements MinimumPosition {
    /** Checks that the position is present. */
    public Known {
      Objects.requireNonNull(position, "position");
    }
  }

  /** The session may have written through another entry host before the given time. */
  record Unknown(MonotonicTime declaredAt) implements MinimumPosition {
    /** Checks that the time is present. */
    public Unknown {
      Objects.requireNonNull(declaredAt, "declaredAt");
    }
  }
}

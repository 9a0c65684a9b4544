package org.persimmonwalk.engine.control;

import java.util.Optional;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The primary of a group, as far as this host knows.
 *
 * @param server the primary; empty if the group has none or it is being replaced
 * @param endsAt when the server stops being the primary; empty unless a replacement is planned
 */
public record PrimaryView(Optional<ServerEntry> server, Optional<MonotonicTime> endsAt) {

  /** A group without a primary. */
  public static final PrimaryView NONE = new PrimaryView(Optional.empty(), Optional.empty());

  /** Returns the server that is the primary at the given time, if any. */
  public Optional<ServerEntry> at(MonotonicTime now) {
    return endsAt.isPresent() && !now.isBefore(endsAt.get()) ? Optional.empty() : server;
  }

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other
        || (other instanceof PrimaryView that
            && server.equals(that.server)
            && endsAt.equals(that.endsAt));
  }

  @Override
  public int hashCode() {
    return 31 * server.hashCode() + endsAt.hashCode();
  }
}

package org.persimmonwalk.engine.control;

import java.util.Optional;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The primary of a group as this host knows it.
 *
 * @param server the primary; empty while it is being replaced
 * @param until when it stops being the primary, if a replacement is planned
 */
public record PrimaryView(Optional<ServerEntry> server, Optional<MonotonicTime> until) {

  /** A group without a primary. */
  public static final PrimaryView NONE = new PrimaryView(Optional.empty(), Optional.empty());

  /** Returns the server that is the primary at the given time. */
  public Optional<ServerEntry> at(MonotonicTime now) {
    return until.isPresent() && !now.isBefore(until.get()) ? Optional.empty() : server;
  }
}

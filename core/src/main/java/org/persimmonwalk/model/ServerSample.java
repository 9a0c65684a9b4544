package org.persimmonwalk.model;

import java.time.Duration;
import java.util.Objects;

/**
 * The replication state that a backend server reports in answer to a probe.
 *
 * @param role the role of the server
 * @param term the term of the server's log, or the promised term if the server is fenced
 * @param received the last log position that the server has stored
 * @param replayed the last log position that is visible to reads on the server
 * @param primaryContactAge the time since the server last heard from the primary that it follows
 */
public record ServerSample(
    ServerRole role,
    Term term,
    LogPosition received,
    LogPosition replayed,
    Duration primaryContactAge) {

  /** Checks that all parts are present. */
  public ServerSample {
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(term, "term");
    Objects.requireNonNull(received, "received");
    Objects.requireNonNull(replayed, "replayed");
    Objects.requireNonNull(primaryContactAge, "primaryContactAge");
  }

  /** Returns the sample of a primary whose log ends at the given position. */
  public static ServerSample ofPrimary(Term term, LogPosition position) {
    return new ServerSample(ServerRole.PRIMARY, term, position, position, Duration.ZERO);
  }

  /** Returns the sample of a replica that follows the primary of the given term. */
  public static ServerSample ofReplica(
      Term term, LogPosition received, LogPosition replayed, Duration primaryContactAge) {
    return new ServerSample(ServerRole.REPLICA, term, received, replayed, primaryContactAge);
  }
}

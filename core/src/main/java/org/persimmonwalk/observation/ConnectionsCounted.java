package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The number of connections of this host to a backend server was counted.
 *
 * @param server the backend server
 * @param open connections that are open or being opened
 * @param wanted connections that the traffic of the last few seconds needed at its peak
 * @param appliedSnapshotAt the start of the round of the newest snapshot that the host applies; no
 *     further connection is opened beyond that snapshot's allowance
 */
public record ConnectionsCounted(
    BackendServerId server, int open, int wanted, MonotonicTime appliedSnapshotAt)
    implements Observation {

  /** Checks that all parts are present. */
  public ConnectionsCounted {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(appliedSnapshotAt, "appliedSnapshotAt");
  }

  @Override
  public boolean isDroppable() {
    return true;
  }
}

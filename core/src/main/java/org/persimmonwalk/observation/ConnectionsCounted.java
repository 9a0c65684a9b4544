package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The connections of this host to a backend server.
 *
 * @param server the backend server
 * @param open connections that are open or being opened
 * @param wanted connections that the traffic of the last seconds needed at its peak
 * @param obeyed when the snapshot was published whose allowance no connection opened later exceeds
 */
public record ConnectionsCounted(BackendServerId server, int open, int wanted, MonotonicTime obeyed)
    implements Observation {

  /** Checks that all parts are present. */
  public ConnectionsCounted {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(obeyed, "obeyed");
  }

  @Override
  public boolean droppable() {
    return true;
  }
}

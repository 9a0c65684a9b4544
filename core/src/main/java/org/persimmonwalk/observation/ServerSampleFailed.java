package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;

/** A backend server did not answer a probe that started at the given time. */
public record ServerSampleFailed(BackendServerId server, MonotonicTime startedAt)
    implements Observation {

  /** Checks that both parts are present. */
  public ServerSampleFailed {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(startedAt, "startedAt");
  }
}

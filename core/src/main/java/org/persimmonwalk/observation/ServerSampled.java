package org.persimmonwalk.observation;

import java.util.Objects;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerSample;

/** A backend server answered a probe that started at the given time. */
public record ServerSampled(BackendServerId server, ServerSample sample, MonotonicTime startedAt)
    implements Observation {

  /** Checks that all parts are present. */
  public ServerSampled {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(sample, "sample");
    Objects.requireNonNull(startedAt, "startedAt");
  }
}

package org.persimmonwalk.model;

import java.util.Objects;

/**
 * The most recent probe of a backend server, which asks the server for a {@link ServerSample}.
 *
 * @param startedAt when the probe was submitted
 * @param state whether the probe has ended
 * @param requested whether a newer sample was requested before the routine probe interval has
 *     passed
 */
public record ServerProbe(MonotonicTime startedAt, State state, boolean requested) {

  /** The state of a probe. */
  public enum State {
    /** No result has arrived yet. */
    IN_FLIGHT,
    /** The probe has succeeded or failed. */
    ANSWERED,
    /** No result arrived in time; the probe counts as failed. */
    EXPIRED
  }

  /** Checks that all parts are present. */
  public ServerProbe {
    Objects.requireNonNull(startedAt, "startedAt");
    Objects.requireNonNull(state, "state");
  }

  /** Returns a probe that starts now. */
  public static ServerProbe start(MonotonicTime now) {
    return new ServerProbe(now, State.IN_FLIGHT, false);
  }

  /** Returns the probe with the given state. */
  public ServerProbe withState(State newState) {
    return new ServerProbe(startedAt, newState, requested);
  }

  /** Returns the probe with a request for a newer sample. */
  public ServerProbe withRequest() {
    return new ServerProbe(startedAt, state, true);
  }
}

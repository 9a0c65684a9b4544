package org.persimmonwalk.model;

import java.util.Objects;

/**
 * The newest probe of a backend server.
 *
 * @param startedAt when the probe was submitted
 * @param state whether the probe has ended
 * @param requested whether a newer sample is wanted before the routine interval has passed
 */
public record ServerProbe(MonotonicTime startedAt, State state, boolean requested) {

  /** Whether a probe has ended. */
  public enum State {
    /** No result yet. */
    IN_FLIGHT,
    /** A result came. */
    ANSWERED,
    /** No result came in time; the probe counts as failed. */
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

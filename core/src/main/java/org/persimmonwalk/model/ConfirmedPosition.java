package org.persimmonwalk.model;

import java.util.Objects;

/**
 * A log position that includes every write acknowledged before the given time.
 *
 * @param position the primary's position when the probe was answered
 * @param startedAt when the probe of the primary started; the server was still the primary then
 */
public record ConfirmedPosition(GroupPosition position, MonotonicTime startedAt) {

  /** Checks that both parts are present. */
  public ConfirmedPosition {
    Objects.requireNonNull(position, "position");
    Objects.requireNonNull(startedAt, "startedAt");
  }

  /** Returns the position confirmed by a probe that started at the given time. */
  public static ConfirmedPosition of(GroupPosition position, MonotonicTime startedAt) {
    return new ConfirmedPosition(position, startedAt);
  }
}

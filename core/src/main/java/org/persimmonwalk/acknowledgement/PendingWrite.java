package org.persimmonwalk.acknowledgement;

import java.util.Objects;
import java.util.function.Consumer;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.MonotonicTime;

/**
 * A write that the primary has committed and that has not been acknowledged to the caller.
 *
 * @param group the database group that ran the write
 * @param position the position after the commit, in the term of the primary that committed
 * @param deadline when the outcome becomes unknown
 * @param callback receives the outcome once; it may run on any thread and must return quickly
 */
public record PendingWrite(
    DatabaseGroupId group,
    GroupPosition position,
    MonotonicTime deadline,
    Consumer<AcknowledgementOutcome> callback) {

  /** Checks that all parts are present. */
  public PendingWrite {
    Objects.requireNonNull(group, "group");
    Objects.requireNonNull(position, "position");
    Objects.requireNonNull(deadline, "deadline");
    Objects.requireNonNull(callback, "callback");
  }
}

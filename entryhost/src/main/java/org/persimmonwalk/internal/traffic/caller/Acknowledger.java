package org.persimmonwalk.internal.traffic.caller;

import java.util.function.Consumer;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.MonotonicTime;

/** Decides when a write may be acknowledged to its caller. */
public interface Acknowledger {

  /**
   * Waits until a write is safe from loss in a failover.
   *
   * @param deadline when to give up
   * @param result is told, once and on any thread, whether the write is safe; if not, its outcome
   *     is unknown
   */
  void await(
      DatabaseGroupId group,
      GroupPosition written,
      MonotonicTime deadline,
      Consumer<Boolean> result);
}

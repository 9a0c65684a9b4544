package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Orders the platform to make a server its group's primary. Ends with {@link
 * PromotionOrderAnswered}.
 *
 * @param holder the host that holds the promotion lease
 * @param fencingToken the fencing token of the lease; rises with each holder
 * @param leaseTakenAt when the host took the lease
 * @param sendBefore when the order may no longer be sent, as the next holder may soon send its own
 */
public record OrderPromotion(
    ServerEntry server,
    EntryHostId holder,
    long fencingToken,
    MonotonicTime leaseTakenAt,
    MonotonicTime sendBefore)
    implements Command {

  /**
   * Returns whether the order may still be sent. To be asked immediately before that: the host may
   * have stood still since the order was decided.
   *
   * @param lastResumedAt when the host last resumed from a suspension, during which its monotonic
   *     clock stood still
   */
  public boolean maySend(MonotonicTime now, MonotonicTime lastResumedAt) {
    return !leaseTakenAt.isBefore(lastResumedAt) && now.isBefore(sendBefore);
  }
}

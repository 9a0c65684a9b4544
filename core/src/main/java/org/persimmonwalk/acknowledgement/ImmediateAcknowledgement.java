package org.persimmonwalk.acknowledgement;

import org.persimmonwalk.model.MonotonicTime;

/**
 * Acknowledges a write as soon as the primary has committed it, so that a failover can lose
 * acknowledged writes. Tests and benchmarks use it as the baseline for {@link
 * ReplicatedAcknowledgement}.
 */
public final class ImmediateAcknowledgement implements AcknowledgementPolicy {

  private ImmediateAcknowledgement() {}

  /** Returns the policy. */
  public static ImmediateAcknowledgement create() {
    return new ImmediateAcknowledgement();
  }

  @Override
  public void register(PendingWrite write, MonotonicTime now) {
    write.callback().accept(AcknowledgementOutcome.CONFIRMED);
  }
}

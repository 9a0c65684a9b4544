package org.persimmonwalk.acknowledgement;

import org.persimmonwalk.model.MonotonicTime;

/**
 * Acknowledges a write as soon as the primary has committed it, so that a failover can lose
 * acknowledged writes. Tests and benchmarks use it as the baseline for {@link AcknowledgementGate}.
 */
public final class AcknowledgeAtOnce implements WriteAcknowledgement {

  private AcknowledgeAtOnce() {}

  /** Returns the policy. */
  public static AcknowledgeAtOnce create() {
    return new AcknowledgeAtOnce();
  }

  @Override
  public void register(PendingWrite write, MonotonicTime now) {
    write.callback().accept(AcknowledgementOutcome.CONFIRMED);
  }
}

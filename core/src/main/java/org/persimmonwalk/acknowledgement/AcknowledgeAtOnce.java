package org.persimmonwalk.acknowledgement;

import org.persimmonwalk.model.MonotonicTime;

/** Acknowledges as soon as the primary has committed; the baseline that loses writes. */
public final class AcknowledgeAtOnce implements WriteAcknowledgement {

  private AcknowledgeAtOnce() {}

  /** Returns the baseline. */
  public static AcknowledgeAtOnce create() {
    return new AcknowledgeAtOnce();
  }

  @Override
  public void register(PendingWrite write, MonotonicTime now) {
    write.callback().accept(AcknowledgementOutcome.CONFIRMED);
  }
}

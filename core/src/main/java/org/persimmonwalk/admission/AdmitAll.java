package org.persimmonwalk.admission;

import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/** Admits every statement. Benchmarks use it as the baseline without rate limits. */
public final class AdmitAll implements AdmissionPolicy {

  private AdmitAll() {}

  /** Returns the policy. */
  public static AdmitAll create() {
    return new AdmitAll();
  }

  @Override
  public boolean admit(Snapshot snapshot, WorkspaceId workspace, MonotonicTime now) {
    return true;
  }
}

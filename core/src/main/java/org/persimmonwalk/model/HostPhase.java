package org.persimmonwalk.model;

/** The lifecycle of an entry host. A host never returns to an earlier phase. */
public enum HostPhase {
  /** The host has no current configuration yet and accepts no callers. */
  STARTING,
  /** The host serves callers. */
  SERVING,
  /** The host is stopping: it ends each session after its current request or transaction. */
  DRAINING,
  /** All sessions have ended, or the stop deadline has passed. */
  STOPPED
}

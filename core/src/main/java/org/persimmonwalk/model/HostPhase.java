package org.persimmonwalk.model;

/** What an entry host does for callers; it only ever moves forward. */
public enum HostPhase {
  /** The host has no current configuration yet and accepts no callers. */
  STARTING,
  /** The host serves callers. */
  SERVING,
  /** The host stops: it ends sessions at the end of their request or transaction. */
  DRAINING,
  /** No session is left, or the stop deadline has passed. */
  STOPPED
}

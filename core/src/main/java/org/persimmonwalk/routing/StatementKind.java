package org.persimmonwalk.routing;

/** Which backend servers can run a statement. */
public enum StatementKind {
  /** Runs on any server whose data is recent enough, in a read-only transaction. */
  READ,
  /** Runs on the primary only. */
  WRITE
}

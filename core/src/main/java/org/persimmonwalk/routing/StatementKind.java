package org.persimmonwalk.routing;

/** What a statement needs of a backend server. */
public enum StatementKind {
  /** Runs on any server whose data is recent enough, in a read-only transaction. */
  READ,
  /** Runs on the primary only. */
  WRITE
}

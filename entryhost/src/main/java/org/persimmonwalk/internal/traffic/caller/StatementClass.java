package org.persimmonwalk.internal.traffic.caller;

/** The class of a statement, which decides how this host handles it. */
enum StatementClass {
  /** Only reads, or fails on a read-only connection without any effect. */
  READ,
  /** May write. */
  WRITE,
  /** May hold several statements, among them one that ends a transaction. */
  MULTIPLE,
  /** Opens a transaction that may write. */
  BEGIN,
  /** Opens a read-only transaction. */
  BEGIN_READ_ONLY,
  /** Ends a transaction. */
  END,
  /** Sets a parameter of the session on backend connections. */
  SET,
  /** Sets a parameter that this host keeps, such as the name of the session. */
  SET_HOST_PARAMETER,
  /** Needs state on a backend connection that outlives a transaction; not supported. */
  UNSUPPORTED
}

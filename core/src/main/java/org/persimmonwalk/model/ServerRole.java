package org.persimmonwalk.model;

/** The replication role of a backend server in its database group. */
public enum ServerRole {
  /** Accepts writes. */
  PRIMARY,
  /** Receives the log of a primary. */
  REPLICA,
  /** Was fenced by a promotion: it has promised the term and receives the log of no primary. */
  FENCED
}

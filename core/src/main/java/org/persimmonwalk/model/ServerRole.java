package org.persimmonwalk.model;

/** What a backend server does in its database group. */
public enum ServerRole {
  /** Accepts writes. */
  PRIMARY,
  /** Receives the log of a primary. */
  REPLICA,
  /** Has promised a term to a promotion and receives the log of no primary. */
  FENCED
}

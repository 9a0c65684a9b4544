package org.persimmonwalk.internal.standin.engine;

import java.util.Objects;

/** A statement that fails with an SQLSTATE. */
public final class SqlException extends RuntimeException {
  private final String sqlState;

  private SqlException(String sqlState, String message) {
    super(message);
    this.sqlState = Objects.requireNonNull(sqlState, "sqlState");
  }

  /** Returns a failure with the given SQLSTATE. */
  public static SqlException of(String sqlState, String message) {
    return new SqlException(sqlState, message);
  }

  /** Returns the failure of a statement that the engine cannot read. */
  public static SqlException syntax(String near) {
    return new SqlException("42601", "syntax error at or near \"" + near + "\"");
  }

  /** Returns the five characters that name the kind of failure. */
  public String sqlState() {
    return sqlState;
  }
}

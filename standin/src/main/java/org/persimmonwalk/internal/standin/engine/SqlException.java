package org.persimmonwalk.internal.standin.engine;

import java.util.Objects;

/** Reports that a statement failed, with the SQLSTATE and the message for the client. */
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

  /** Returns a syntax error at the given token. */
  public static SqlException syntax(String near) {
    return new SqlException("42601", "syntax error at or near \"" + near + "\"");
  }

  /** Returns the five-character SQLSTATE. */
  public String sqlState() {
    return sqlState;
  }
}

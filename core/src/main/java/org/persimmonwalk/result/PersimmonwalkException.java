package org.persimmonwalk.result;

import java.util.Objects;

/**
 * A failure with a numbered result code.
 *
 * <p>Example:
 *
 * <pre>{@code
 * throw PersimmonwalkException.of(ResultCode.NO_PRIMARY, "group tanks has no primary; retry");
 * }</pre>
 */
public final class PersimmonwalkException extends RuntimeException {
  private final ResultCode code;

  private PersimmonwalkException(ResultCode code, String message, Throwable cause) {
    super(code.label() + ": " + message, cause);
    this.code = Objects.requireNonNull(code, "code");
  }

  /** Returns a failure. The message states what happened and what the caller or operator can do. */
  public static PersimmonwalkException of(ResultCode code, String message) {
    return new PersimmonwalkException(code, message, null);
  }

  /** Returns a failure with its cause. */
  public static PersimmonwalkException of(ResultCode code, String message, Throwable cause) {
    return new PersimmonwalkException(code, message, cause);
  }

  /** Returns the result code. */
  public ResultCode code() {
    return code;
  }
}

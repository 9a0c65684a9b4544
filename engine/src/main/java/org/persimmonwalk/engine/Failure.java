package org.persimmonwalk.engine;

/**
 * Why a session or statement failed.
 *
 * @param detail an explanation for humans
 */
public record Failure(FailureCode code, String detail) {

  /** Returns a failure. */
  public static Failure of(FailureCode code, String detail) {
    return new Failure(code, detail);
  }
}

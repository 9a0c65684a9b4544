package org.persimmonwalk.engine;

/** A failure and a text for people. */
public record Failure(FailureCode code, String detail) {

  /** Returns a failure. */
  public static Failure of(FailureCode code, String detail) {
    return new Failure(code, detail);
  }
}

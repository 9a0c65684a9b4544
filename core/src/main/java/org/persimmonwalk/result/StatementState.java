package org.persimmonwalk.result;

/** Whether a statement has run, as far as the entry host knows. */
public enum StatementState {
  /** The statement ran and its effect is durable. */
  RAN,
  /** The statement did not run and will not run. */
  NOT_RUN,
  /** The statement may have run. */
  UNKNOWN,
  /** The result does not concern a statement. */
  NOT_APPLICABLE
}

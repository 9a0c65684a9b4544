package org.persimmonwalk.internal.store;

/** What became of a request; it tells a request that was never sent from a lost answer. */
public sealed interface HttpOutcome {

  /** The platform answered. */
  record Answered(int status, byte[] body) implements HttpOutcome {}

  /** The answer is larger than the limit; its content is unknown. */
  record Oversized(int limitBytes) implements HttpOutcome {}

  /** The request was not sent, so it was not carried out. */
  record NotSent(String reason) implements HttpOutcome {}

  /** The request may have been sent and no complete answer came. */
  record AnswerLost(String reason) implements HttpOutcome {}
}

package org.persimmonwalk.internal.store;

/**
 * The outcome of a request. It distinguishes a request that was not sent from one whose response
 * was lost, which the platform may have carried out.
 */
public sealed interface HttpOutcome {

  /** The platform sent a complete response. */
  record Responded(int status, byte[] body) implements HttpOutcome {}

  /** The response is larger than the limit, so its content was discarded. */
  record ResponseTooLarge(int limitBytes) implements HttpOutcome {}

  /** The request was not sent, so it was not carried out. */
  record NotSent(String reason) implements HttpOutcome {}

  /** The request may have been sent, but no complete response arrived. */
  record ResponseLost(String reason) implements HttpOutcome {}
}

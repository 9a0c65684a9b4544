package org.persimmonwalk.internal.operator.fleet;

import org.persimmonwalk.result.PersimmonwalkException;

/** The outcome of one request for the state of an entry host. */
public sealed interface HostPollResult {

  /** The host returned its state. */
  record Reported(HostReport report) implements HostPollResult {}

  /** The host did not answer in time, refused the request or sent an invalid response. */
  record Failed(PersimmonwalkException cause) implements HostPollResult {}
}

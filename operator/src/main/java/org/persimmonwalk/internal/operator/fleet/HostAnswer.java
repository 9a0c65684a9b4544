package org.persimmonwalk.internal.operator.fleet;

import org.persimmonwalk.result.PersimmonwalkException;

/** The newest answer of a host. */
public sealed interface HostAnswer {

  /** The host stated its state. */
  record Reported(HostReport report) implements HostAnswer {}

  /** The host did not answer or refused. */
  record Failed(PersimmonwalkException cause) implements HostAnswer {}
}

package org.persimmonwalk.internal.operator.command;

/** A subcommand. args4j sets its annotated fields from the command line before it runs. */
public interface Subcommand {

  /**
   * Runs the subcommand on the calling thread and prints its result to the session's output.
   *
   * @throws org.persimmonwalk.result.PersimmonwalkException if it fails
   */
  void run(OperatorSession session);
}

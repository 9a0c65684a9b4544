package org.persimmonwalk.internal.operator.command;

/** One action of the command line; args4j fills its options and arguments. */
public interface Subcommand {

  /**
   * Carries out the action.
   *
   * @throws org.persimmonwalk.result.PersimmonwalkException if it fails
   */
  void run(OperatorSession session);
}

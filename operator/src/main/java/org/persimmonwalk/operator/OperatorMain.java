package org.persimmonwalk.operator;

import java.util.List;

/** The main class of the operators' command line. */
public final class OperatorMain {

  private OperatorMain() {}

  /** Runs a subcommand and exits the process with its exit code. */
  public static void main(String[] arguments) {
    System.exit(OperatorCommandLine.create(System.out, System.err).run(List.of(arguments)));
  }
}

package org.persimmonwalk.command;

import java.util.Objects;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.model.BackendServer;

/** Asks a backend server for its role, term and positions. */
public record SampleServer(BackendServer server) implements Command {

  /** Checks that the server is present. */
  public SampleServer {
    Objects.requireNonNull(server, "server");
  }
}

package org.persimmonwalk.command;

import java.util.Objects;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.id.Revision;

/** Loads the configuration that the configuration row names; the given revision or a newer one. */
public record LoadConfiguration(Revision revision) implements Command {
  /** Checks that the revision is present. */
  public LoadConfiguration {
    Objects.requireNonNull(revision, "revision");
  }
}

package org.persimmonwalk.command;

import java.util.Objects;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.id.Revision;

/**
 * Loads the configuration that the configuration row names, which has at least the given revision.
 */
public record LoadConfiguration(Revision revision) implements Command {
  /** Checks that the revision is present. */
  public LoadConfiguration {
    Objects.requireNonNull(revision, "revision");
  }
}

package org.persimmonwalk.id;

import org.persimmonwalk.internal.check.Names;

/** Identifies a workspace, the unit of isolation between tenants. */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {

  /** Checks the text of the identifier. */
  public WorkspaceId {
    Names.check("workspace", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @throws IllegalArgumentException if the text is not a valid identifier
   */
  public static WorkspaceId of(String value) {
    return new WorkspaceId(value);
  }

  @Override
  public int compareTo(WorkspaceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}

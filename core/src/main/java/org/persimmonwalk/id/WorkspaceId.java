package org.persimmonwalk.id;

import org.persimmonwalk.internal.check.Names;

/** Identifies a workspace, the unit of isolation between tenants. */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {

  /** Checks that a line of text can carry the identifier as one field. */
  public WorkspaceId {
    Names.checkField("workspace", value);
  }

  /**
   * Returns the identifier with the given text.
   *
   * @throws IllegalArgumentException if the text is not a valid identifier
   */
  public static WorkspaceId of(String value) {
    return new WorkspaceId(Names.check("workspace", value));
  }

  /**
   * Returns the identifier with a name that another system has given, which need not be as short
   * and plain as those of {@link #of}.
   *
   * @throws IllegalArgumentException if the name is empty, contains a blank, CR, LF or NUL, or is
   *     not valid Unicode
   */
  public static WorkspaceId ofExternal(String value) {
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

  // Written out: a record's own methods are linked at run time (docs/design/processor-time.md).
  @Override
  public boolean equals(Object other) {
    return this == other || (other instanceof WorkspaceId that && value.equals(that.value));
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}

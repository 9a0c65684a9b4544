package org.persimmonwalk.internal.traffic.backend;

import java.util.List;

/**
 * The SET statements that must have run on a connection before a caller's statement. When the owner
 * or the statements change, the connection is reset first, so that one caller's state never reaches
 * another.
 *
 * @param owner the caller, compared by identity
 * @param statements SET statements, in order
 */
public record SessionSettings(Object owner, List<String> statements) {

  /** Copies the list. */
  public SessionSettings {
    statements = List.copyOf(statements);
  }

  /** Returns the settings of a caller. */
  public static SessionSettings of(Object owner, List<String> statements) {
    return new SessionSettings(owner, statements);
  }

  boolean isSameAs(SessionSettings other) {
    return owner == other.owner && statements.equals(other.statements);
  }
}

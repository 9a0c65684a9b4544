package org.persimmonwalk.engine;

/**
 * The content of a prepared statement, independent of the name that a session gives it.
 *
 * @param write whether executing it writes data
 * @param shape the statement that the caller prepared
 */
public record PreparedShape(boolean write, String shape) {

  /** Returns the name under which backend connections prepare this shape for all sessions. */
  public String sharedName() {
    return (write ? "w." : "r.") + shape;
  }
}

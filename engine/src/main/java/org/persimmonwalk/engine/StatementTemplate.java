package org.persimmonwalk.engine;

/**
 * The content of a prepared statement, independent of the name that a session gives it.
 *
 * @param write whether executing it writes data
 * @param text the statement that the caller prepared
 */
public record StatementTemplate(boolean write, String text) {

  /** Returns the name under which backend connections prepare this template for all sessions. */
  public String sharedName() {
    return (write ? "w." : "r.") + text;
  }
}

package org.persimmonwalk.engine;

/** What a prepared statement does: the same on every connection, whatever its name is. */
public record PreparedShape(boolean write, String shape) {

  /** Returns the name under which backend connections prepare this shape for all sessions. */
  public String sharedName() {
    return (write ? "w." : "r.") + shape;
  }
}

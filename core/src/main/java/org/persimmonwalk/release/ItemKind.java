package org.persimmonwalk.release;

/** The kinds of items in a configuration that a release note can add, change or withdraw. */
public enum ItemKind {
  WORKSPACE("workspaces"),
  KEY("keys"),
  GROUP("groups"),
  SERVER("servers");

  private final String path;

  ItemKind(String path) {
    this.path = path;
  }

  /** Returns the first segment of the paths of items of this kind, for example {@code keys}. */
  public String path() {
    return path;
  }
}

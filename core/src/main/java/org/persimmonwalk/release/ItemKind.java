package org.persimmonwalk.release;

/** The kinds of items of a configuration. */
public enum ItemKind {
  WORKSPACE("workspaces"),
  KEY("keys"),
  GROUP("groups"),
  SERVER("servers");

  private final String path;

  ItemKind(String path) {
    this.path = path;
  }

  /** Returns the part of a path that stands for the kind. */
  public String path() {
    return path;
  }
}

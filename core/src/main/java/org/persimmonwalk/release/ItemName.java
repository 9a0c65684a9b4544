package org.persimmonwalk.release;

import java.util.Comparator;
import java.util.Objects;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;

/**
 * Identifies an item of a configuration by its kind and identifier.
 *
 * @param kind what the item is
 * @param id the text of the item's identifier
 */
public record ItemName(ItemKind kind, String id) implements Comparable<ItemName> {
  private static final int HASH_DIGITS = 8;

  /** Checks that both parts are present. */
  public ItemName {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(id, "id");
  }

  /** Returns the name of a workspace. */
  public static ItemName of(WorkspaceId workspace) {
    return new ItemName(ItemKind.WORKSPACE, workspace.value());
  }

  /** Returns the name of a caller key. */
  public static ItemName of(KeyHash key) {
    return new ItemName(ItemKind.KEY, key.value());
  }

  /** Returns the name of a database group. */
  public static ItemName of(DatabaseGroupId group) {
    return new ItemName(ItemKind.GROUP, group.value());
  }

  /** Returns the name of a backend server. */
  public static ItemName of(BackendServerId server) {
    return new ItemName(ItemKind.SERVER, server.value());
  }

  /**
   * Returns the path of the item, for example {@code workspaces/oil}. A key hash is shortened to
   * its first 8 digits, as in log lines.
   */
  public String path() {
    boolean shortened = kind == ItemKind.KEY && id.length() > HASH_DIGITS;
    return kind.path() + "/" + (shortened ? id.substring(0, HASH_DIGITS) : id);
  }

  @Override
  public int compareTo(ItemName other) {
    return Comparator.comparing(ItemName::kind).thenComparing(ItemName::id).compare(this, other);
  }
}

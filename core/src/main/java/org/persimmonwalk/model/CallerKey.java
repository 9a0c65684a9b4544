package org.persimmonwalk.model;

import java.util.Objects;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;

/** The hash of a caller key and the workspace to which the key grants access. */
public record CallerKey(KeyHash hash, WorkspaceId workspace) {

  /** Checks that both parts are present. */
  public CallerKey {
    Objects.requireNonNull(hash, "hash");
    Objects.requireNonNull(workspace, "workspace");
  }

  /** Returns the key with the given hash. */
  public static CallerKey of(KeyHash hash, WorkspaceId workspace) {
    return new CallerKey(hash, workspace);
  }
}

package org.persimmonwalk.internal.engine.traffic;

import java.util.Optional;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;

/**
 * Who a session belongs to.
 *
 * @param key the hash of the caller's key; empty on routes open to all
 */
record Identity(WorkspaceId workspace, Optional<KeyHash> key) {

  /** Stands for the callers of routes that are open to all. */
  static final WorkspaceId ANYONE = WorkspaceId.of("anyone");
}

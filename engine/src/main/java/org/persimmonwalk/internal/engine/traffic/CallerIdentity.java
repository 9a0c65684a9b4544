package org.persimmonwalk.internal.engine.traffic;

import java.util.Optional;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;

/**
 * The workspace that a session belongs to, and the hash of its caller's key.
 *
 * @param key empty for callers without a valid key, whom only open routes accept
 */
record CallerIdentity(WorkspaceId workspace, Optional<KeyHash> key) {

  /** The workspace of all callers without a valid key. */
  static final WorkspaceId ANYONE = WorkspaceId.of("anyone");

  /** Returns whether the key is valid in a configuration that was verified recently. */
  boolean isVerified(TrafficContext context) {
    return context.keysAreVerified() && hasValidKey(context.entry(EngineEntries.CONFIGURATION));
  }

  /** Returns whether the key belongs to the workspace in the given configuration. */
  boolean hasValidKey(RoutingConfiguration configuration) {
    return key.map(configuration.keys()::get).filter(workspace::equals).isPresent();
  }
}

package org.persimmonwalk.admission;

import java.util.Optional;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.result.ResultCode;

/** Accepts the keys of the configuration in force, however old it is; the baseline. */
public final class ConfiguredKeys implements KeyVerifier {

  private ConfiguredKeys() {}

  /** Returns the verifier. */
  public static ConfiguredKeys create() {
    return new ConfiguredKeys();
  }

  @Override
  public Optional<ResultCode> verify(
      Snapshot snapshot, WorkspaceId workspace, Optional<KeyHash> key, MonotonicTime now) {
    Configuration configuration = snapshot.get(Entries.CONFIGURATION);
    Optional<Workspace> known = configuration.workspace(workspace);
    if (known.isEmpty()) {
      return Optional.of(ResultCode.UNKNOWN_WORKSPACE);
    }
    boolean opens =
        known.get().open() || key.isPresent() && configuration.opens(key.get(), workspace);
    return opens ? Optional.empty() : Optional.of(ResultCode.KEY_REJECTED);
  }
}

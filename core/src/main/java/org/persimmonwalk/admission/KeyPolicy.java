package org.persimmonwalk.admission;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.CallerKey;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.result.ResultCode;

/**
 * Checks a caller's key against the keys in the snapshot. Traffic threads call it when a caller
 * connects and again for each statement, so that a withdrawn key stops working on open connections.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Optional<ResultCode> refusal =
 *     policy.verify(snapshot, workspace, Optional.of(hash), clock.now());
 * }</pre>
 */
public final class KeyPolicy implements KeyVerifier {
  /**
   * The grace period: how long keys are accepted although this host could not confirm that its
   * configuration is current.
   */
  public static final Duration DEFAULT_UNVERIFIED_GRACE = Duration.ofMinutes(15);

  private final Duration unverifiedGrace;

  private KeyPolicy(Duration unverifiedGrace) {
    this.unverifiedGrace = Objects.requireNonNull(unverifiedGrace, "unverifiedGrace");
  }

  /** Returns a policy with a grace period of 15 minutes. */
  public static KeyPolicy create() {
    return new KeyPolicy(DEFAULT_UNVERIFIED_GRACE);
  }

  /** Returns a policy with the given grace period. */
  public static KeyPolicy of(Duration unverifiedGrace) {
    return new KeyPolicy(unverifiedGrace);
  }

  /**
   * Returns why the caller may not use the workspace; empty if it may. After the grace period,
   * workspaces that need no key are refused too, because they may need one by now.
   */
  @Override
  public Optional<ResultCode> verify(
      Snapshot snapshot, WorkspaceId workspace, Optional<KeyHash> key, MonotonicTime now) {
    if (!isVerified(snapshot, now)) {
      return Optional.of(ResultCode.KEYS_UNVERIFIED);
    }
    Optional<Workspace> known = snapshot.get(Entries.CONFIGURATION).workspace(workspace);
    if (known.isEmpty()) {
      return Optional.of(ResultCode.UNKNOWN_WORKSPACE);
    }
    if (known.get().open()) {
      return Optional.empty();
    }
    return key.isEmpty()
        ? Optional.of(ResultCode.KEY_REJECTED)
        : checkKey(snapshot, workspace, key.get());
  }

  private boolean isVerified(Snapshot snapshot, MonotonicTime now) {
    return snapshot
        .get(Entries.CONFIGURATION_CURRENT_AT)
        .filter(currentAt -> now.since(currentAt).compareTo(unverifiedGrace) <= 0)
        .isPresent();
  }

  private static Optional<ResultCode> checkKey(
      Snapshot snapshot, WorkspaceId workspace, KeyHash key) {
    CallerKey valid = snapshot.get(Entries.VALID_KEYS).get(key);
    if (valid != null && valid.workspace().equals(workspace)) {
      return Optional.empty();
    }
    boolean withdrawn = workspace.equals(snapshot.get(Entries.WITHDRAWN_KEYS).get(key));
    return Optional.of(withdrawn ? ResultCode.KEY_WITHDRAWN : ResultCode.KEY_REJECTED);
  }
}

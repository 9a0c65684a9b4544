package org.persimmonwalk.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.control.configuration.ConfigurationController;
import org.persimmonwalk.internal.control.key.KeyController;
import org.persimmonwalk.model.CallerKey;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.observation.ConfigurationLoaded;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.testing.Configurations;
import org.persimmonwalk.testing.FakeClock;
import org.persimmonwalk.testing.RecordingCommandExecutor;

class KeyPolicyTest {
  private static final WorkspaceId FIRST = WorkspaceId.of("workspace-0");
  private static final WorkspaceId SECOND = WorkspaceId.of("workspace-1");
  private static final WorkspaceId OPEN = WorkspaceId.of("open");
  private static final KeyHash KEY = KeyHash.ofKey("key-0");

  private final FakeClock clock = new FakeClock();
  private final ControlLoop loop =
      ControlLoop.of(
          List.of(ConfigurationController.create(), KeyController.create()),
          new RecordingCommandExecutor(),
          clock,
          RandomSource.seeded(1));

  /** Guards against a key that gives access to another workspace than its own. */
  @Test
  void shouldGrantAccessOnlyToTheWorkspaceOfTheKey() {
    load(1, Set.of());

    assertThat(check(FIRST, KEY)).isEmpty();
    assertThat(check(SECOND, KEY)).contains(ResultCode.KEY_REJECTED);
    assertThat(check(FIRST, KeyHash.ofKey("guess"))).contains(ResultCode.KEY_REJECTED);
    assertThat(check(FIRST, null)).contains(ResultCode.KEY_REJECTED);
    assertThat(check(WorkspaceId.of("absent"), KEY)).contains(ResultCode.UNKNOWN_WORKSPACE);
    assertThat(check(OPEN, null)).isEmpty();
  }

  /** Guards against a withdrawn key that keeps working on open connections. */
  @Test
  void shouldRefuseWithdrawnKeyUntilItIsAddedAgain() {
    load(1, Set.of());
    load(2, Set.of(KEY));
    assertThat(check(FIRST, KEY)).contains(ResultCode.KEY_WITHDRAWN);
    assertThat(check(SECOND, KEY)).contains(ResultCode.KEY_REJECTED);

    load(3, Set.of());
    assertThat(check(FIRST, KEY)).isEmpty();
    assertThat(loop.snapshot().get(Entries.WITHDRAWN_KEYS)).isEmpty();
  }

  /** Guards against a host that is cut off from configuration changes and accepts keys forever. */
  @Test
  void shouldRefuseWhenConfigurationIsUnconfirmedForTheGracePeriod() {
    assertThat(check(FIRST, KEY)).contains(ResultCode.KEYS_UNVERIFIED);
    load(1, Set.of());

    clock.advance(Duration.ofMinutes(15));
    assertThat(check(FIRST, KEY)).isEmpty();

    clock.advance(Duration.ofNanos(1));
    assertThat(check(FIRST, KEY)).contains(ResultCode.KEYS_UNVERIFIED);
    assertThat(check(OPEN, null)).contains(ResultCode.KEYS_UNVERIFIED);
  }

  private void load(long revision, Set<KeyHash> withdrawn) {
    Configuration all = Configurations.of(revision, 1, 2);
    Map<WorkspaceId, Workspace> workspaces = new HashMap<>(all.workspaces());
    workspaces.put(OPEN, new Workspace(OPEN, 1, 1, Set.of(), true));
    Map<KeyHash, CallerKey> keys = new HashMap<>(all.keys());
    keys.keySet().removeAll(withdrawn);
    Configuration loaded =
        new Configuration(
            Revision.of(revision), ReleaseNoteId.of("note"), workspaces, keys, all.groups());
    loop.post(new ConfigurationLoaded(loaded, clock.now()));
    loop.runRound();
  }

  private Optional<ResultCode> check(WorkspaceId workspace, KeyHash key) {
    return KeyPolicy.create()
        .verify(loop.snapshot(), workspace, Optional.ofNullable(key), clock.now());
  }
}

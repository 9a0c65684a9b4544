package org.persimmonwalk.internal.control.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.admission.KeyPolicy;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.HostPhase;
import org.persimmonwalk.observation.ConfigurationLoaded;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.testing.ConfigurationFleet;
import org.persimmonwalk.testing.ConfigurationHost;
import org.persimmonwalk.testing.Configurations;

class ConfigurationSpreadTest {
  private static final Duration STEP = Duration.ofMillis(50);

  /** Shorter than the default grace period, so that the test runs fewer rounds. */
  private static final Duration GRACE_PERIOD = Duration.ofMinutes(1);

  private static final WorkspaceId WORKSPACE = WorkspaceId.of("workspace-0");
  private static final Optional<KeyHash> KEY = Optional.of(KeyHash.ofKey("key-0"));

  private final ConfigurationFleet fleet = ConfigurationFleet.of(STEP, (from, to, message) -> 0);
  private final KeyPolicy policy = KeyPolicy.of(GRACE_PERIOD);

  @BeforeEach
  void startHosts() {
    fleet.store().install(Configurations.of(1, 1, 1));
    for (int index = 0; index < 21; index++) {
      add("host-" + index, "zone-" + index % 3);
    }
    fleet.run(Duration.ofSeconds(5));
  }

  /** Guards against hosts that keep a withdrawn key because they cannot reach the store. */
  @Test
  void shouldReachHostsWithoutStoreWithinFiveSeconds() {
    fleet.hosts().stream()
        .filter(host -> !host.entry().zone().value().equals("zone-0"))
        .forEach(host -> host.setStoreReachable(false));
    fleet.run(Duration.ofSeconds(10));
    assertThat(fleet.hosts()).allSatisfy(host -> assertThat(verifyKey(host)).isEmpty());

    withdrawKey();
    fleet.run(Duration.ofSeconds(5));

    assertThat(fleet.hosts())
        .allSatisfy(host -> assertThat(verifyKey(host)).contains(ResultCode.KEY_WITHDRAWN));
  }

  /**
   * Guards against hosts cut off from the store that accept keys forever or refuse them too early.
   */
  @Test
  void shouldRefuseKeysOnlyAfterGracePeriodWithoutFreshness() {
    fleet.hosts().forEach(host -> host.setStoreReachable(false));
    fleet.run(GRACE_PERIOD.minusSeconds(3));
    assertThat(fleet.hosts()).allSatisfy(host -> assertThat(verifyKey(host)).isEmpty());

    fleet.run(Duration.ofSeconds(4));
    assertThat(fleet.hosts())
        .allSatisfy(host -> assertThat(verifyKey(host)).contains(ResultCode.KEYS_UNVERIFIED));

    fleet.hosts().get(0).setStoreReachable(true);
    fleet.run(Duration.ofSeconds(10));
    assertThat(fleet.hosts()).allSatisfy(host -> assertThat(verifyKey(host)).isEmpty());
  }

  /** Guards against a restarted host that serves with an older revision than the other hosts. */
  @Test
  void shouldNotServeOlderRevisionAfterRestartWithStaleStoreRead() {
    withdrawKey();
    fleet.run(Duration.ofSeconds(5));
    ConfigurationHost restarted = add("host-restarted", "zone-1");
    restarted.setStoreReachable(false);
    restarted.post(new ConfigurationLoaded(Configurations.of(1, 1, 1), fleet.clock().now()));

    Set<Revision> served = new HashSet<>();
    for (int step = 0; step < 200; step++) {
      fleet.step();
      if (restarted.snapshot().get(Entries.HOST_PHASE) == HostPhase.SERVING) {
        served.add(restarted.revision());
      }
    }

    assertThat(served).containsExactly(Revision.of(2));
  }

  private void withdrawKey() {
    Configuration first = Configurations.of(1, 1, 1);
    fleet
        .store()
        .install(
            new Configuration(
                Revision.of(2), first.note(), first.workspaces(), Map.of(), first.groups()));
  }

  private Optional<ResultCode> verifyKey(ConfigurationHost host) {
    return policy.verify(host.snapshot(), WORKSPACE, KEY, fleet.clock().now());
  }

  private ConfigurationHost add(String id, String zone) {
    HostEntry entry = ConfigurationFleet.entry(id, zone);
    return fleet.add(entry, ConfigurationHost.controllers(entry), id.hashCode());
  }
}

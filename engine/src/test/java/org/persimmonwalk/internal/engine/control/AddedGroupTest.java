package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.PrimaryView;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.KeyHash;

/** Tests a group that a new configuration adds while hosts hold a verification without it. */
class AddedGroupTest {
  private static final DatabaseGroupId ADDED = DatabaseGroupId.of("trucks");
  private static final BackendServerId REPLACED = BackendServerId.of("t1");
  private static final BackendServerId PRIMARY = BackendServerId.of("t2");

  /** One host reads the store as the relay, the others ask it. */
  private final EngineFixture fixture = new EngineFixture(3);

  @BeforeEach
  void listServers() {
    add(REPLACED, true);
    add(PRIMARY, false);
    fixture.run(Duration.ofSeconds(4));
  }

  private void add(BackendServerId id, boolean claimsPrimary) {
    ServerEntry listed = EngineFixture.server(id.value(), claimsPrimary);
    fixture.entries.put(
        id,
        new ServerEntry(
            id,
            ADDED,
            listed.endpoint(),
            listed.zone(),
            listed.slots(),
            false,
            claimsPrimary,
            listed.startedAtMillis()));
  }

  /**
   * Guards against stale reads and lost writes at a replaced primary: the hosts had verified the
   * rows of the other groups shortly before, and used the server that calls itself primary until
   * they had read the leadership row of the added group.
   */
  @Test
  void shouldNotUseAServerThatOnlyCallsItselfPrimaryBeforeTheRowWasRead() {
    fixture.write(Leadership.row(ADDED), "STABLE t2 1 0");
    publishWithAddedGroup();
    for (int i = 0; i < 400; i++) {
      fixture.run(Duration.ofMillis(10));
      assertThat(fixture.hosts)
          .noneMatch(host -> primaryOf(host).filter(REPLACED::equals).isPresent());
    }

    assertThat(fixture.hosts).allMatch(host -> primaryOf(host).filter(PRIMARY::equals).isPresent());
  }

  /** Guards against replacing a healthy primary because the row could not be read for a second. */
  @Test
  void shouldNotReplaceThePrimaryBeforeTheRowWasRead() {
    publishWithAddedGroup();
    // The first call returns the configuration; the one that reads the row of the group fails.
    int calls = fixture.transactions.calls;
    while (fixture.transactions.calls == calls) {
      fixture.run(Duration.ofMillis(10));
    }
    fixture.storeIsUp = false;
    fixture.run(Duration.ofMillis(2500));
    assertThat(fixture.hosts)
        .anyMatch(
            host -> fixture.entry(host, EngineEntries.CONFIGURATION).groups().containsKey(ADDED));
    fixture.storeIsUp = true;
    fixture.run(Duration.ofSeconds(4));

    assertThat(fixture.events)
        .noneMatch(event -> event.startsWith("primary-replacement-announced"));
    assertThat(fixture.hosts)
        .allMatch(host -> primaryOf(host).filter(REPLACED::equals).isPresent());
  }

  private void publishWithAddedGroup() {
    RoutingConfiguration usual =
        EngineFixture.configuration(
            2, 100, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE));
    Map<DatabaseGroupId, GroupSettings> groups = new HashMap<>(usual.groups());
    groups.put(ADDED, new GroupSettings(54, 0));
    fixture.publish(
        new RoutingConfiguration(
            usual.version(),
            usual.routes(),
            groups,
            usual.keys(),
            usual.limits(),
            usual.transactionIdleTimeout()));
  }

  private Optional<BackendServerId> primaryOf(Engine host) {
    return fixture
        .entry(host, EngineEntries.PRIMARIES)
        .getOrDefault(ADDED, PrimaryView.NONE)
        .server()
        .map(ServerEntry::id);
  }
}

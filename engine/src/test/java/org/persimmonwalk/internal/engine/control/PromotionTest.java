package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.OrderPromotion;
import org.persimmonwalk.engine.control.ServerStatusRead;
import org.persimmonwalk.engine.control.ServerUnreachable;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.KeyHash;

class PromotionTest {
  private static final BackendServerId PRIMARY = BackendServerId.of("s1");
  private static final BackendServerId SHORT_LOG_REPLICA = BackendServerId.of("s2");
  private static final BackendServerId LONG_LOG_REPLICA = BackendServerId.of("s3");

  private final EngineFixture fixture = new EngineFixture(4);

  @BeforeEach
  void setReplicaStatuses() {
    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(false, 3, TermPosition.of(3, 100)));
    fixture.statuses.put(
        LONG_LOG_REPLICA, new ServerStatusRead.Status(false, 3, TermPosition.of(3, 101)));
  }

  private void reportUnreachable(int hosts) {
    ServerEntry primary = fixture.entries.get(PRIMARY);
    for (int i = 0; i < hosts; i++) {
      fixture.hosts.get(i).loop().post(new ServerUnreachable(primary));
    }
  }

  private BackendServerId primaryOf(Engine host) {
    return fixture
        .entry(host, EngineEntries.PRIMARIES)
        .get(EngineFixture.GROUP)
        .server()
        .map(ServerEntry::id)
        .orElse(null);
  }

  @Test
  void shouldPromoteTheReplicaWithTheLongestLogAtAllHosts() {
    reportUnreachable(4);
    fixture.run(Duration.ofSeconds(7));

    assertThat(fixture.promotions).hasSize(1);
    assertThat(fixture.promotions.get(0).server().id()).isEqualTo(LONG_LOG_REPLICA);
    assertThat(fixture.hosts).allMatch(host -> LONG_LOG_REPLICA.equals(primaryOf(host)));
  }

  /** Guards against a promotion because the network links of one or two hosts fail. */
  @Test
  void shouldNotPromoteWhenOnlyTwoHostsReportThePrimary() {
    reportUnreachable(2);
    fixture.run(Duration.ofSeconds(7));

    assertThat(fixture.promotions).isEmpty();
  }

  /** Guards against promoting while a disconnected host may still use the old primary. */
  @Test
  void shouldWaitUntilNoHostCanUseTheOldPrimary() {
    fixture.cutOff(fixture.hosts.get(3), true);
    fixture.peersAreReachable = false;
    reportUnreachable(3);
    long waitedMillis = 0;
    while (fixture.promotions.isEmpty() && waitedMillis < 10_000) {
      fixture.run(Duration.ofMillis(50));
      waitedMillis += 50;
    }

    assertThat(fixture.promotions).isNotEmpty();
    assertThat(isVerified(fixture.hosts.get(3))).isFalse();
  }

  /** Guards against a host that learns of the replacement from its relay too late or not at all. */
  @Test
  void shouldStopUsingTheOldPrimaryAtHostsBehindTheRelay() {
    fixture.cutOff(fixture.hosts.get(3), true);
    reportUnreachable(3);
    long waitedMillis = 0;
    while (fixture.promotions.isEmpty() && waitedMillis < 10_000) {
      fixture.run(Duration.ofMillis(50));
      waitedMillis += 50;
    }

    assertThat(fixture.promotions).isNotEmpty();
    assertThat(fixture.hosts)
        .noneMatch(host -> PRIMARY.equals(primaryOf(host)) && isVerified(host));
  }

  private boolean isVerified(Engine host) {
    return fixture
        .entry(host, EngineEntries.VERIFIED_AT)
        .filter(
            at -> fixture.clock.now().since(at).compareTo(EngineTimings.VERIFICATION_VALIDITY) < 0)
        .isPresent();
  }

  /** Guards against a replacement that stays unfinished when the host that announced it dies. */
  @Test
  void shouldFinishTheReplacementAfterItsHostDied() {
    reportUnreachable(4);
    fixture.run(Duration.ofMillis(800));
    Engine dead = fixture.hosts.remove(0);
    fixture.run(Duration.ofSeconds(9));

    assertThat(dead).isNotNull();
    assertThat(fixture.hosts).allMatch(host -> LONG_LOG_REPLICA.equals(primaryOf(host)));
  }

  /** Guards against fencing tokens that fall or repeat over several promotions. */
  @Test
  void shouldRaiseTheFencingTokenWithEachPromotion() {
    reportUnreachable(4);
    fixture.run(Duration.ofSeconds(7));
    fixture.statuses.put(
        LONG_LOG_REPLICA, new ServerStatusRead.Status(false, 4, TermPosition.of(4, 1)));
    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(false, 4, TermPosition.of(4, 2)));
    ServerEntry second = fixture.entries.get(LONG_LOG_REPLICA);
    fixture.hosts.forEach(host -> host.loop().post(new ServerUnreachable(second)));
    fixture.run(Duration.ofSeconds(7));

    assertThat(fixture.promotions).hasSizeGreaterThanOrEqualTo(2);
    assertThat(fixture.promotions)
        .extracting(OrderPromotion::fencingToken)
        .isSorted()
        .doesNotHaveDuplicates();
  }

  /**
   * Guards against two hosts that decide at once: a host that promoted a server, stood still until
   * its lease had expired and woke while the next holder was promoting another server recorded its
   * own one, which was no longer the primary.
   */
  @Test
  void shouldNotRecordAPrimaryAfterAnotherHostTookTheLease() {
    reportUnreachable(4);
    Engine first = runUntilPromotions(1);
    fixture.freeze(first, true);
    // The next holder can't reach the server that was promoted and promotes the other one.
    fixture.statuses.remove(LONG_LOG_REPLICA);
    Engine second = runUntilPromotions(2);
    assertThat(second).isNotSameAs(first);
    assertThat(fixture.promotions.get(1).server().id()).isEqualTo(SHORT_LOG_REPLICA);
    fixture.statuses.remove(SHORT_LOG_REPLICA);
    fixture.statuses.put(
        LONG_LOG_REPLICA, new ServerStatusRead.Status(true, 4, TermPosition.of(3, 101)));

    fixture.freeze(first, false);
    fixture.run(Duration.ofMillis(500));
    assertThat(fixture.hosts).noneMatch(this::usesAPrimary);
    assertThat(fixture.events).anyMatch(event -> event.startsWith("duty-lost"));

    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(true, 5, TermPosition.of(3, 100)));
    fixture.run(Duration.ofSeconds(4));
    assertThat(fixture.hosts).allMatch(host -> SHORT_LOG_REPLICA.equals(primaryOf(host)));
  }

  /**
   * Guards against going back to a primary of an older term: it was replaced while it could not
   * reach its successor, and still calls itself primary when the successor crashes.
   */
  @Test
  void shouldNotRecordAPrimaryOfAnOlderTerm() {
    reportUnreachable(4);
    runUntilPromotions(1);
    fixture.statuses.put(PRIMARY, new ServerStatusRead.Status(true, 3, TermPosition.of(3, 102)));
    fixture.run(Duration.ofSeconds(4));
    assertThat(fixture.hosts).allMatch(host -> LONG_LOG_REPLICA.equals(primaryOf(host)));

    // The successor crashes; only the other replica knows its term.
    fixture.statuses.remove(LONG_LOG_REPLICA);
    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(false, 4, TermPosition.of(4, 7)));
    ServerEntry crashed = fixture.entries.get(LONG_LOG_REPLICA);
    fixture.hosts.forEach(host -> host.loop().post(new ServerUnreachable(crashed)));
    fixture.run(Duration.ofSeconds(7));

    assertThat(fixture.promotions)
        .extracting(order -> order.server().id())
        .containsExactly(LONG_LOG_REPLICA, SHORT_LOG_REPLICA);
    assertThat(fixture.hosts).allMatch(host -> SHORT_LOG_REPLICA.equals(primaryOf(host)));
  }

  /** Guards against the same while the only server that knows the newer term doesn't answer. */
  @Test
  void shouldNotRecordAPrimaryOfAnOlderTermThatAnswersAlone() {
    reportUnreachable(4);
    runUntilPromotions(1);
    fixture.statuses.put(PRIMARY, new ServerStatusRead.Status(true, 3, TermPosition.of(3, 102)));
    fixture.run(Duration.ofSeconds(4));
    fixture.statuses.remove(LONG_LOG_REPLICA);
    fixture.statuses.remove(SHORT_LOG_REPLICA);
    ServerEntry crashed = fixture.entries.get(LONG_LOG_REPLICA);
    fixture.hosts.forEach(host -> host.loop().post(new ServerUnreachable(crashed)));
    fixture.run(Duration.ofSeconds(5));
    assertThat(fixture.promotions).hasSize(1);
    assertThat(fixture.hosts).noneMatch(this::usesAPrimary);

    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(false, 4, TermPosition.of(4, 7)));
    fixture.run(Duration.ofSeconds(4));

    assertThat(fixture.hosts).allMatch(host -> SHORT_LOG_REPLICA.equals(primaryOf(host)));
  }

  /** Guards against a group without a primary for good when the other replicas never answer. */
  @Test
  void shouldPromoteAServerOfAnOlderTermWhenNoOtherAnswers() {
    reportUnreachable(4);
    runUntilPromotions(1);
    fixture.statuses.put(PRIMARY, new ServerStatusRead.Status(true, 3, TermPosition.of(3, 102)));
    fixture.run(Duration.ofSeconds(4));
    fixture.statuses.remove(LONG_LOG_REPLICA);
    fixture.statuses.remove(SHORT_LOG_REPLICA);
    ServerEntry crashed = fixture.entries.get(LONG_LOG_REPLICA);
    fixture.hosts.forEach(host -> host.loop().post(new ServerUnreachable(crashed)));
    fixture.run(Duration.ofSeconds(10));

    assertThat(fixture.promotions)
        .extracting(order -> order.server().id())
        .containsExactly(LONG_LOG_REPLICA, PRIMARY);
    assertThat(fixture.hosts).allMatch(host -> PRIMARY.equals(primaryOf(host)));
  }

  /** Guards against the same in a planned replacement whose present primary doesn't answer. */
  @Test
  void shouldNotRecordAPrimaryOfAnOlderTermInAPlannedReplacement() {
    reportUnreachable(4);
    runUntilPromotions(1);
    fixture.statuses.put(PRIMARY, new ServerStatusRead.Status(true, 3, TermPosition.of(3, 102)));
    fixture.run(Duration.ofSeconds(4));
    setDraining(LONG_LOG_REPLICA);
    fixture.statuses.remove(LONG_LOG_REPLICA);
    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(false, 4, TermPosition.of(4, 7)));
    fixture.run(Duration.ofSeconds(8));

    assertThat(fixture.hosts).allMatch(host -> SHORT_LOG_REPLICA.equals(primaryOf(host)));
  }

  /** Runs until the number of promotions was ordered and returns the host that ordered the last. */
  private Engine runUntilPromotions(int count) {
    for (int i = 0; i < 1000 && fixture.promotions.size() < count; i++) {
      fixture.run(Duration.ofMillis(10));
    }
    assertThat(fixture.promotions).hasSize(count);
    EntryHostId holder = fixture.promotions.get(count - 1).holder();
    return IntStream.range(0, fixture.hosts.size())
        .filter(
            number ->
                EngineSettingsFixture.of(number, 1, EngineSettingsFixture.USUAL_BOUNDS)
                    .host()
                    .equals(holder))
        .mapToObj(fixture.hosts::get)
        .findFirst()
        .orElseThrow();
  }

  /** Guards against sending requests to a primary that is about to leave. */
  @Test
  void shouldReplaceADrainingPrimary() {
    setDraining(PRIMARY);
    fixture.statuses.put(PRIMARY, new ServerStatusRead.Status(true, 3, TermPosition.of(3, 101)));
    fixture.run(Duration.ofMillis(3500));
    assertThat(fixture.hosts).allMatch(host -> PRIMARY.equals(primaryOf(host)));

    fixture.run(Duration.ofMillis(4000));

    assertThat(fixture.promotions).hasSize(1);
    assertThat(fixture.hosts).allMatch(host -> LONG_LOG_REPLICA.equals(primaryOf(host)));
  }

  /**
   * Guards against losing acknowledged commits that only a draining replica has received: the other
   * replica received nothing for a while.
   */
  @Test
  void shouldPromoteADrainingReplicaThatAloneHasTheLog() {
    useSynchronousReplica();
    setDraining(LONG_LOG_REPLICA);
    fixture.run(Duration.ofSeconds(3));
    reportUnreachable(4);
    fixture.run(Duration.ofSeconds(7));

    assertThat(fixture.promotions)
        .extracting(order -> order.server().id())
        .containsExactly(LONG_LOG_REPLICA);
    assertThat(fixture.hosts).noneMatch(this::usesAPrimary);

    fixture.statuses.put(
        SHORT_LOG_REPLICA, new ServerStatusRead.Status(false, 4, TermPosition.of(3, 101)));
    fixture.run(Duration.ofSeconds(6));

    assertThat(fixture.promotions)
        .extracting(order -> order.server().id())
        .containsExactly(LONG_LOG_REPLICA, SHORT_LOG_REPLICA);
    assertThat(fixture.hosts).allMatch(host -> SHORT_LOG_REPLICA.equals(primaryOf(host)));
  }

  /** Without synchronous replicas a draining replica would only have to be replaced again. */
  @Test
  void shouldNotPromoteADrainingReplicaWithoutSynchronousReplicas() {
    setDraining(LONG_LOG_REPLICA);
    fixture.run(Duration.ofSeconds(3));
    reportUnreachable(4);
    fixture.run(Duration.ofSeconds(7));

    assertThat(fixture.hosts).allMatch(host -> SHORT_LOG_REPLICA.equals(primaryOf(host)));
  }

  /**
   * Guards against losing acknowledged commits of a replica that crashed shortly before the primary
   * and has no entry until it returns.
   */
  @Test
  void shouldWaitForALapsedReplicaThatMayHaveTheLog() {
    useSynchronousReplica();
    ServerEntry lapsed = fixture.entries.remove(LONG_LOG_REPLICA);
    ServerStatusRead.Status status = fixture.statuses.remove(LONG_LOG_REPLICA);
    fixture.run(Duration.ofSeconds(3));
    reportUnreachable(4);
    fixture.run(Duration.ofSeconds(8));
    assertThat(fixture.promotions).isEmpty();

    fixture.entries.put(LONG_LOG_REPLICA, lapsed);
    fixture.statuses.put(LONG_LOG_REPLICA, status);
    fixture.run(Duration.ofSeconds(6));

    assertThat(fixture.promotions)
        .extracting(order -> order.server().id())
        .containsExactly(LONG_LOG_REPLICA);
  }

  /** Guards against a group without a primary for good after a replica is lost for good. */
  @Test
  void shouldNotWaitForeverForALapsedReplica() {
    useSynchronousReplica();
    fixture.entries.remove(LONG_LOG_REPLICA);
    fixture.statuses.remove(LONG_LOG_REPLICA);
    fixture.run(Duration.ofSeconds(3));
    reportUnreachable(4);
    fixture.run(LapsedServers.RETENTION.plusSeconds(7));

    assertThat(fixture.hosts).allMatch(host -> SHORT_LOG_REPLICA.equals(primaryOf(host)));
  }

  private boolean usesAPrimary(Engine host) {
    return fixture
        .entry(host, EngineEntries.PRIMARIES)
        .get(EngineFixture.GROUP)
        .at(fixture.clock.now())
        .isPresent();
  }

  private void useSynchronousReplica() {
    fixture.publish(
        EngineFixture.configuration(
            2, 100, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE), 1));
    fixture.run(Duration.ofSeconds(3));
  }

  private void setDraining(BackendServerId server) {
    ServerEntry old = fixture.entries.get(server);
    fixture.entries.put(
        server,
        new ServerEntry(
            old.id(), old.group(), old.endpoint(), old.zone(), 3, true, old.primary(), 1));
  }
}

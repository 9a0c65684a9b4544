package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.engine.testing.TimedOperations;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.KeyHash;

/** Tests operations at hosts without tokens while lenders and the store are lost. */
class HopelessTokenWaitTest {
  /** More hosts than tokens, so that hosts hold none in advance. */
  private static final int HOSTS = 24;

  private static final int ZONES = 3;
  private static final double RATE = 4;
  private static final Duration INTERVAL = Duration.ofMillis(200);

  /** A round of the control thread after the report that an operation waits. */
  private static final Duration AT_ONCE = Duration.ofMillis(50);

  private static final Statement READ = new Statement.Data(false, "READ x");

  private final EngineFixture fixture =
      new EngineFixture(HOSTS, ZONES, EngineSettingsFixture.USUAL_BOUNDS);

  @BeforeEach
  void publishASmallLimit() {
    publish(2, RATE);
    fixture.run(Duration.ofSeconds(5));
  }

  private void publish(long version, double rate) {
    fixture.publish(configuration(version, rate));
  }

  private static RoutingConfiguration configuration(long version, double rate) {
    return EngineFixture.configuration(
        version, rate, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE));
  }

  private static EngineSettings settings(int number) {
    return EngineSettingsFixture.of(number, ZONES, EngineSettingsFixture.USUAL_BOUNDS);
  }

  private List<Engine> hostsOf(AvailabilityZone zone) {
    List<Engine> found = new ArrayList<>();
    for (int number = 0; number < HOSTS; number++) {
      if (settings(number).zone().equals(zone)) {
        found.add(fixture.hosts.get(number));
      }
    }
    return found;
  }

  /** Sends an operation through each of the hosts at intervals and waits until all have ended. */
  private TimedOperations send(List<Engine> hosts, Duration duration) {
    TimedOperations operations = new TimedOperations(fixture);
    for (Duration at = Duration.ZERO; at.compareTo(duration) < 0; at = at.plus(INTERVAL)) {
      hosts.forEach(host -> operations.send(host, RouteKind.PRIMARY, READ));
      fixture.run(INTERVAL);
    }
    fixture.run(Duration.ofSeconds(1));
    assertThat(operations.unanswered()).as(operations.summary()).isZero();
    return operations;
  }

  private void assertRefusedAtOnce(TimedOperations operations) {
    assertThat(operations.ended("no rate tokens")).as(operations.summary()).isPositive();
    assertThat(operations.ended("done")).as(operations.summary()).isZero();
    assertThat(operations.laterThan(AT_ONCE)).as(operations.summary()).isZero();
  }

  /** Guards against operations that wait in vain while neither lenders nor store reply. */
  @Test
  void shouldRefuseAtOnceWhileLendersAndStoreAreKnownToBeLost() {
    fixture.storeIsUp = false;
    fixture.peersAreReachable = false;

    TimedOperations first = send(fixture.hosts, Duration.ofSeconds(2));
    assertThat(first.late()).as(first.summary()).isZero();

    assertRefusedAtOnce(send(fixture.hosts, INTERVAL));
  }

  /** Guards against late operations while lenders spend their last tokens and the store is down. */
  @Test
  void shouldRefuseAtOnceWhileTheStoreIsDownAndNoLenderHasTokens() {
    fixture.storeIsUp = false;

    TimedOperations first = send(fixture.hosts, Duration.ofSeconds(2));
    assertThat(first.late()).as(first.summary()).isZero();

    assertRefusedAtOnce(send(fixture.hosts, INTERVAL));
  }

  /** Guards against late operations in a zone that is cut off from the store and other zones. */
  @Test
  void shouldRefuseAtOnceInAPartitionedZoneWithoutTokens() {
    AvailabilityZone cutOff = settings(0).zone();
    hostsOf(cutOff).forEach(host -> fixture.cutOff(host, true));
    fixture.hosts.stream()
        .filter(host -> !hostsOf(cutOff).contains(host))
        .forEach(host -> fixture.freeze(host, true));

    TimedOperations first = send(hostsOf(cutOff), Duration.ofSeconds(2));
    assertThat(first.late()).as(first.summary()).isZero();

    assertRefusedAtOnce(send(hostsOf(cutOff), INTERVAL));
  }

  /** Guards against refusing what a slow stand-in can serve, and against serving it too late. */
  @Test
  void shouldEndInTimeWhileTheLenderIsDeadAndItsStandInIsSlow() {
    AvailabilityZone zone =
        LenderChoice.order(EngineFixture.WORKSPACE, new RateLimit(RATE, RATE), settings(0), HOSTS)
            .get(0);
    hostsOf(zone).stream()
        .filter(host -> fixture.entry(host, EngineEntries.RELAY_ROLE).isRelay())
        .forEach(host -> fixture.freeze(host, true));
    for (int number = 0; number < HOSTS; number++) {
      fixture.exchanges.delayReplies(settings(number).peerEndpoint(), Duration.ofMillis(250));
    }
    List<Engine> hosts = new ArrayList<>(fixture.hosts);
    hosts.removeAll(hostsOf(zone));

    TimedOperations operations = send(hosts, Duration.ofSeconds(2));

    assertThat(operations.late()).as(operations.summary()).isZero();
    assertThat(operations.ended("done")).as(operations.summary()).isPositive();
  }

  /** Guards against operations that wait although the bucket has no token in time for them. */
  @Test
  void shouldRefuseAtOnceWhatTheBucketHasNoTokenFor() {
    EngineFixture two = new EngineFixture(2, 2, EngineSettingsFixture.USUAL_BOUNDS);
    two.publish(configuration(2, 1));
    two.run(Duration.ofSeconds(5));
    two.freeze(two.hosts.get(1), true);
    TimedOperations operations = new TimedOperations(two);
    for (int i = 0; i < 20; i++) {
      operations.send(two.hosts.get(0), RouteKind.PRIMARY, READ);
      two.run(INTERVAL);
    }

    assertThat(operations.ended("no rate tokens")).as(operations.summary()).isPositive();
    assertThat(operations.laterThan(INTERVAL)).as(operations.summary()).isZero();
  }

  /** Guards against refusals after the end of an outage that the host has not noticed yet. */
  @Test
  void shouldServeAgainWhenStoreAndLendersAreBack() {
    fixture.storeIsUp = false;
    fixture.peersAreReachable = false;
    send(fixture.hosts, Duration.ofSeconds(2));
    fixture.storeIsUp = true;
    fixture.peersAreReachable = true;
    publish(3, 1_000);
    fixture.run(Duration.ofSeconds(4));

    TimedOperations operations = send(fixture.hosts, Duration.ofSeconds(2));

    assertThat(operations.ended("done")).isEqualTo(HOSTS * 10);
  }
}

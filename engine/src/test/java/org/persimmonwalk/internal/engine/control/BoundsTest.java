package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.control.ServerStatusRead;
import org.persimmonwalk.engine.control.ServiceBounds;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.KeyHash;

/** Guards against intervals that suit the bounds of one deployment and break those of another. */
class BoundsTest {
  private static final BackendServerId PRIMARY = BackendServerId.of("s1");
  private static final BackendServerId REPLICA = BackendServerId.of("s2");
  private static final Duration STEP = Duration.ofMillis(50);
  private static final int STEPS_PER_SECOND = 20;
  private static final int HOSTS = 6;

  /** Changes come at these many different times between two calls to the store. */
  private static final int CHANGES = 12;

  private static final Duration CHANGE_PAUSE = Duration.ofMillis(70);
  private static final int ZONES = 2;

  private static ServiceBounds scaled(int percent) {
    ServiceBounds usual = EngineSettingsFixture.USUAL_BOUNDS;
    return new ServiceBounds(
        scaled(usual.drain(), percent),
        scaled(usual.configurationApply(), percent),
        scaled(usual.contact(), percent),
        scaled(usual.heartbeat(), percent),
        scaled(usual.resumeSlack(), percent),
        usual.evacuation());
  }

  private static Duration scaled(Duration duration, int percent) {
    return duration.multipliedBy(percent).dividedBy(100);
  }

  private static EngineFixture fixture(ServiceBounds bounds) {
    EngineFixture fixture = new EngineFixture(HOSTS, ZONES, bounds);
    fixture.statuses.put(PRIMARY, new ServerStatusRead.Status(true, 3, TermPosition.of(3, 100)));
    fixture.statuses.put(REPLICA, new ServerStatusRead.Status(false, 3, TermPosition.of(3, 100)));
    fixture.run(Duration.ofSeconds(3));
    return fixture;
  }

  /** Returns the time until the condition holds at all given hosts. */
  private static Duration timeUntil(
      EngineFixture fixture, List<Engine> hosts, Predicate<Engine> condition) {
    Duration waited = Duration.ZERO;
    while (!hosts.stream().allMatch(condition) && waited.compareTo(Duration.ofSeconds(30)) < 0) {
      fixture.run(STEP);
      waited = waited.plus(STEP);
    }
    return waited;
  }

  private static void publishVersion(EngineFixture fixture, long version) {
    fixture.publish(
        EngineFixture.configuration(
            version, 100, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
  }

  private static void setDraining(EngineFixture fixture, BackendServerId server, boolean draining) {
    ServerEntry old = fixture.entries.get(server);
    fixture.entries.put(
        server,
        new ServerEntry(
            old.id(), old.group(), old.endpoint(), old.zone(), 3, draining, old.primary(), 1));
  }

  @ParameterizedTest
  @ValueSource(ints = {30, 50, 100, 143, 200})
  void shouldApplyAConfigurationEverywhereInTime(int percent) {
    ServiceBounds bounds = scaled(percent);
    EngineFixture fixture = fixture(bounds);
    for (int version = 2; version <= CHANGES; version++) {
      int published = version;
      publishVersion(fixture, version);

      assertThat(
              timeUntil(
                  fixture,
                  fixture.hosts,
                  host -> fixture.entry(host, EngineEntries.CONFIGURATION).version() == published))
          .isLessThan(bounds.configurationApply());
      fixture.run(CHANGE_PAUSE.multipliedBy(version));
    }
  }

  /** Guards against hosts that stay behind for longer because their relay died. */
  @ParameterizedTest
  @ValueSource(ints = {100, 143, 200})
  void shouldApplyAConfigurationInTimeOnceARelayHasBeenReplaced(int percent) {
    ServiceBounds bounds = scaled(percent);
    EngineFixture fixture = fixture(bounds);
    List<Engine> relays = relays(fixture);
    relays.forEach(relay -> fixture.freeze(relay, true));
    fixture.run(bounds.contact());
    publishVersion(fixture, 2);
    List<Engine> others = new ArrayList<>(fixture.hosts);
    others.removeAll(relays);

    assertThat(relays).hasSize(ZONES);
    assertThat(
            timeUntil(
                fixture,
                others,
                host -> fixture.entry(host, EngineEntries.CONFIGURATION).version() == 2))
        .isLessThan(bounds.configurationApply());
  }

  private static List<Engine> relays(EngineFixture fixture) {
    return fixture.hosts.stream()
        .filter(
            host -> fixture.entry(host, EngineEntries.RELAY_ROLE).kind() == RelayRole.Kind.RELAY)
        .toList();
  }

  @ParameterizedTest
  @ValueSource(ints = {30, 50, 100, 143, 200})
  void shouldSeeADrainingReplicaInTime(int percent) {
    ServiceBounds bounds = scaled(percent);
    EngineFixture fixture = fixture(bounds);
    for (int change = 1; change <= CHANGES; change++) {
      boolean draining = change % 2 == 1;
      setDraining(fixture, REPLICA, draining);

      assertThat(
              timeUntil(
                  fixture,
                  fixture.hosts,
                  host ->
                      fixture.entry(host, EngineEntries.SERVERS).get(REPLICA).draining()
                          == draining))
          .isLessThan(bounds.drain());
      fixture.run(CHANGE_PAUSE.multipliedBy(change));
    }
  }

  /** Guards against writes that reach a primary after its time to drain is over. */
  @ParameterizedTest
  @CsvSource({"100,0", "100,1", "143,0", "200,0", "200,1"})
  void shouldLeaveADrainingPrimaryInTime(int percent, int synchronousReplicas) {
    ServiceBounds bounds = scaled(percent);
    EngineFixture fixture = fixture(bounds);
    fixture.publish(
        EngineFixture.configuration(
            2,
            100,
            Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE),
            synchronousReplicas));
    fixture.run(bounds.configurationApply());
    setDraining(fixture, PRIMARY, true);

    assertThat(timeUntil(fixture, fixture.hosts, host -> !uses(fixture, host, PRIMARY)))
        .isLessThan(bounds.drain());
  }

  private static boolean uses(EngineFixture fixture, Engine host, BackendServerId server) {
    return fixture
        .entry(host, EngineEntries.PRIMARIES)
        .get(EngineFixture.GROUP)
        .at(fixture.clock.now())
        .filter(entry -> entry.id().equals(server))
        .isPresent();
  }

  /**
   * Guards against more calls than the store accepts from all hosts together, also when all start
   * at once and when all relays fail at once. The rates are those of deployments of about that
   * size.
   */
  @ParameterizedTest
  @CsvSource({"13,3,400,2000", "95,5,3200,16000", "130,4,1200,6000", "425,7,3200,16000"})
  void shouldStayWithinTheRatesOfTheStore(int hosts, int zones, int writes, int reads) {
    EngineFixture fixture = new EngineFixture(hosts, zones, EngineSettingsFixture.USUAL_BOUNDS);
    CallRates rates = new CallRates(fixture);
    rates.run(4);
    rates.assertWithin("start", writes, reads);
    rates.run(4);
    rates.assertWithin("steady", writes, reads);
    relays(fixture).forEach(relay -> fixture.freeze(relay, true));
    rates.run(6);
    rates.assertWithin("relays lost", writes, reads);
  }

  /** The most calls in any second, counted from the start of the fixture. */
  private static final class CallRates {
    private final EngineFixture fixture;
    private final List<Integer> transactions = new ArrayList<>(List.of(0));
    private final List<Integer> all = new ArrayList<>(List.of(0));

    private CallRates(EngineFixture fixture) {
      this.fixture = fixture;
      record();
    }

    private void record() {
      transactions.add(fixture.transactions.calls);
      all.add(fixture.storeCalls);
    }

    private void run(int seconds) {
      for (int i = 0; i < seconds * STEPS_PER_SECOND; i++) {
        fixture.run(STEP);
        record();
      }
    }

    private void assertWithin(String phase, int writes, int reads) {
      int mostWrites = 0;
      int mostReads = 0;
      for (int from = 0; from < all.size(); from++) {
        int to = Math.min(all.size() - 1, from + STEPS_PER_SECOND);
        int writeCalls = transactions.get(to) - transactions.get(from);
        mostWrites = Math.max(mostWrites, writeCalls);
        mostReads = Math.max(mostReads, all.get(to) - all.get(from) - writeCalls);
      }
      int last = all.size() - 1;
      transactions.subList(0, last).clear();
      all.subList(0, last).clear();
      assertThat(mostWrites).as("%s: transactions in a second", phase).isLessThan(writes);
      assertThat(mostReads).as("%s: reads in a second", phase).isLessThan(reads);
    }
  }

  private static List<String> unkeptBounds(int percent) {
    return EngineTimings.unkeptBounds(EngineSettingsFixture.of(0, 1, scaled(percent)));
  }

  /** Guards against a bound that is accepted although it will be broken. */
  /** Guards against a bound for evacuations that is accepted and cannot be kept. */
  @Test
  void shouldReportAnEvacuationBoundThatIsTooShort() {
    assertThat(unkeptWithEvacuation(Duration.ofMillis(5000))).isEmpty();
    assertThat(unkeptWithEvacuation(Duration.ofMillis(2899)))
        .singleElement()
        .asString()
        .contains("evacuation")
        .contains("2900 ms");
  }

  private static List<String> unkeptWithEvacuation(Duration evacuation) {
    ServiceBounds usual = EngineSettingsFixture.USUAL_BOUNDS;
    ServiceBounds bounds =
        new ServiceBounds(
            usual.drain(),
            usual.configurationApply(),
            usual.contact(),
            usual.heartbeat(),
            usual.resumeSlack(),
            Optional.of(evacuation));
    return EngineTimings.unkeptBounds(EngineSettingsFixture.of(0, 1, bounds));
  }

  @Test
  void shouldNameEachBoundThatIsTooShort() {
    assertThat(unkeptBounds(100)).isEmpty();
    assertThat(unkeptBounds(200)).isEmpty();
    assertThat(unkeptBounds(50))
        .hasSize(2)
        .anyMatch(problem -> problem.startsWith("the bound drain is 3500 ms"))
        .anyMatch(problem -> problem.startsWith("the bound contact is 2000 ms"));
  }
}

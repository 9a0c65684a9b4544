package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.internal.engine.traffic.Session;

/** Tests the lender of a small workspace and those that stand in for it. */
class LenderTest {
  private static final int HOSTS = 40;
  private static final int ZONES = 5;
  private static final double RATE = 10;
  private static final EngineSettings SETTINGS =
      EngineSettingsFixture.of(0, ZONES, EngineSettingsFixture.USUAL_BOUNDS);
  private static final Duration BETWEEN_OPERATIONS = Duration.ofMillis(160);

  private final EngineFixture fixture =
      new EngineFixture(HOSTS, ZONES, EngineSettingsFixture.USUAL_BOUNDS);
  private final List<Session> sessions = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(HOSTS);

  @BeforeEach
  void openSessions() {
    fixture.publish(
        EngineFixture.configuration(
            2, RATE, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
    fixture.run(Duration.ofSeconds(3));
    for (Engine host : fixture.hosts) {
      sessions.add(fixture.open(host, RouteKind.PRIMARY, new FakeCaller()));
    }
    fixture.run(Duration.ofSeconds(3));
  }

  private Engine lender() {
    AvailabilityZone zone =
        LenderChoice.order(EngineFixture.WORKSPACE, new RateLimit(RATE, RATE), SETTINGS, HOSTS)
            .get(0);
    for (int number = 0; number < HOSTS; number++) {
      Engine host = fixture.hosts.get(number);
      boolean isInZone =
          EngineSettingsFixture.of(number, ZONES, EngineSettingsFixture.USUAL_BOUNDS)
              .zone()
              .equals(zone);
      if (isInZone && fixture.entry(host, EngineEntries.RELAY_ROLE).equals(RelayRole.RELAY)) {
        return host;
      }
    }
    throw new AssertionError("the zone " + zone + " has no relay");
  }

  /** Sends operations through random hosts except the given one; returns how many were admitted. */
  private int sendAndCountAdmitted(int operations, Engine except) {
    int before = fixture.servers.sent().size();
    for (int i = 0; i < operations; i++) {
      int number;
      do {
        number = random.nextInt(HOSTS);
      } while (fixture.hosts.get(number) == except);
      sessions.get(number).receive(RequestId.of("q" + i), new Statement.Data(false, "READ x"));
      fixture.run(BETWEEN_OPERATIONS);
    }
    return fixture.servers.sent().size() - before;
  }

  /**
   * Guards against refusing the operations of a workspace until its lender is replaced. The hosts
   * notice within their first request, and the tokens of the lost lender are a part of all.
   */
  @Test
  void shouldLendFromAnotherZoneWhenTheLenderIsLost() {
    sendAndCountAdmitted(20, null);
    Engine lost = lender();
    fixture.freeze(lost, true);

    assertThat(sendAndCountAdmitted(50, lost)).isGreaterThanOrEqualTo(40);
    assertThat(sendAndCountAdmitted(50, lost)).isEqualTo(50);
  }

  /** Guards against asking a lender that has lost the store and has no tokens left. */
  @Test
  void shouldLendFromAnotherZoneWhenTheLenderLosesTheStore() {
    sendAndCountAdmitted(20, null);
    Engine disconnected = lender();
    fixture.cutOff(disconnected, true);

    assertThat(sendAndCountAdmitted(100, disconnected)).isGreaterThanOrEqualTo(95);
  }

  /** Guards against refusing the first operation of a workspace because nobody took tokens yet. */
  @Test
  void shouldAdmitTheFirstOperationWhileTheStoreIsDown() {
    fixture.storeIsUp = false;
    fixture.run(Duration.ofMillis(1000));

    assertThat(sendAndCountAdmitted(5, null)).isEqualTo(5);
  }

  /** Guards against operations that wait although their workspace is known to be over its limit. */
  @Test
  void shouldRefuseAtOnceWhatIsOverTheLimit() {
    for (int step = 0; step < 40; step++) {
      for (int i = 0; i < 5; i++) {
        sessions
            .get(random.nextInt(HOSTS))
            .receive(RequestId.of("q" + step), new Statement.Data(false, "READ x"));
      }
      fixture.run(Duration.ofMillis(100));
    }
    List<String> refused =
        fixture.events.stream().filter(event -> event.startsWith("operation-refused")).toList();

    assertThat(refused).isNotEmpty();
    assertThat(refused)
        .filteredOn(event -> event.contains("no rate tokens"))
        .hasSizeLessThanOrEqualTo(refused.size() / 20);
  }
}

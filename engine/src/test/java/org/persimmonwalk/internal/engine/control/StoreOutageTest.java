package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.internal.engine.traffic.Session;

/** Plays a workspace inside its rate, at hosts of three zones, while the store is down. */
class StoreOutageTest {
  private static final int HOSTS = 9;
  private static final int ZONES = 3;
  private static final double RATE = 40;

  /** Below the part of the rate with which lenders refill their pools. */
  private static final double DEMAND = 24;

  /** Primaries can be used for three seconds after the last verification, up to a second ago. */
  private static final Duration OUTAGE = Duration.ofMillis(1900);

  private static final Duration STEP = Duration.ofMillis(10);
  private static final int WINDOW_STEPS = 500;
  private static final double TOLERATED = (RATE * 5 + RATE) * 1.1 + 20;

  private final EngineFixture fixture =
      new EngineFixture(HOSTS, ZONES, EngineSettingsFixture.USUAL_BOUNDS, StoreEra.of(1));
  private final List<Session> sessions = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(HOSTS);
  private final List<Integer> admitted = new ArrayList<>(List.of(0));

  @BeforeEach
  void openSessions() {
    fixture.publish(
        EngineFixture.configuration(
            2, RATE, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
    fixture.run(Duration.ofSeconds(3));
    fixture.hosts.forEach(
        host -> sessions.add(fixture.open(host, RouteKind.PRIMARY, new FakeCaller())));
    fixture.run(Duration.ofSeconds(3));
  }

  private void send(Duration duration, double perSecond) {
    for (long at = 0; at < duration.toMillis(); at += STEP.toMillis()) {
      double due = perSecond * STEP.toMillis() / 1000;
      while (due > 0 && random.nextDouble() < due) {
        sessions
            .get(random.nextInt(HOSTS))
            .receive(RequestId.of("q"), new Statement.Data(false, "READ x"));
        due--;
      }
      fixture.run(STEP);
      admitted.add(fixture.servers.sent().size());
    }
  }

  private long refused() {
    return fixture.events.stream().filter(line -> line.startsWith("operation-refused")).count();
  }

  private int mostInAWindow() {
    int most = 0;
    for (int end = 0; end < admitted.size(); end++) {
      most = Math.max(most, admitted.get(end) - admitted.get(Math.max(0, end - WINDOW_STEPS)));
    }
    return most;
  }

  /**
   * Guards against refusing operations inside the rate once the tokens that lenders have in stock
   * are spent, which takes less than two seconds.
   */
  @Test
  void shouldAdmitTheLoadWhileTheStoreIsDown() {
    send(Duration.ofSeconds(8), DEMAND);
    long before = refused();

    fixture.storeIsUp = false;
    send(OUTAGE, DEMAND);

    assertThat(refused() - before).isZero();
  }

  /** Guards against admitting more than the limit in a series of outages. */
  @Test
  void shouldKeepTheLimitThroughOutages() {
    for (int outage = 0; outage < 6; outage++) {
      fixture.storeIsUp = false;
      send(Duration.ofMillis(500 + 700L * outage), RATE * 3);
      fixture.storeIsUp = true;
      send(Duration.ofMillis(300 + 900L * outage), outage % 2 == 0 ? DEMAND : RATE * 3);
    }

    assertThat(mostInAWindow()).isLessThanOrEqualTo((int) TOLERATED);
  }
}

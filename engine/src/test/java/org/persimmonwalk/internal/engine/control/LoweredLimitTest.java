package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.internal.engine.traffic.Session;

/** Plays a workspace whose limit is lowered from 100 to 20 a second on 16 hosts in 3 zones. */
class LoweredLimitTest {
  private static final int HOSTS = 16;
  private static final int ZONES = 3;
  private static final double LOWERED = 20;
  private static final Duration STEP = Duration.ofMillis(10);

  private final EngineFixture fixture =
      new EngineFixture(HOSTS, ZONES, EngineSettingsFixture.USUAL_BOUNDS);
  private final List<Session> sessions = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(HOSTS);

  private void openSessions() {
    fixture.run(Duration.ofSeconds(3));
    for (Engine host : fixture.hosts) {
      sessions.add(fixture.open(host, RouteKind.PRIMARY, new FakeCaller()));
    }
    fixture.run(Duration.ofSeconds(2));
  }

  private void lowerTheLimit() {
    fixture.publish(
        EngineFixture.configuration(
            2, LOWERED, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
  }

  /** Sends operations at random times to random hosts; returns how many were sent. */
  private int send(Duration duration, double perSecond) {
    int count = 0;
    for (long at = 0; at < duration.toMillis(); at += STEP.toMillis()) {
      if (random.nextDouble() < perSecond * STEP.toMillis() / 1000) {
        sessions
            .get(random.nextInt(HOSTS))
            .receive(RequestId.of("q" + count++), new Statement.Data(false, "READ x"));
      }
      fixture.run(STEP);
    }
    return count;
  }

  private long refused() {
    return fixture.events.stream().filter(event -> event.startsWith("operation-refused")).count();
  }

  /**
   * Guards against refusing operations inside the new limit while tokens of the higher limit idle
   * in other zones.
   */
  @Test
  void shouldAdmitOperationsInsideTheLoweredLimit() {
    openSessions();
    send(Duration.ofSeconds(5), 14);
    lowerTheLimit();
    long before = refused();
    int sent = send(Duration.ofSeconds(20), 14);

    assertThat(refused() - before).isLessThanOrEqualTo(sent / 100);
  }

  /**
   * Guards against taking the demand before the change as evidence that the workspace is over its
   * new limit.
   */
  @Test
  void shouldAdmitOperationsOfCallersThatFollowTheLoweredLimit() {
    openSessions();
    send(Duration.ofSeconds(5), 70);
    lowerTheLimit();
    long before = refused();
    int sent = send(Duration.ofSeconds(20), 14);

    assertThat(refused() - before).isLessThanOrEqualTo(sent * 2 / 100);
  }

  /** Guards against admitting more than the new limit one window after the change is in force. */
  @Test
  void shouldKeepTheLoweredLimitOneWindowAfterTheChange() {
    openSessions();
    send(Duration.ofSeconds(5), 90);
    lowerTheLimit();
    send(Duration.ofSeconds(3), 90);
    double tolerated = (LOWERED * 5 + LOWERED) * 1.1 + 20;
    for (int window = 0; window < 3; window++) {
      int admittedBefore = fixture.servers.sent().size();
      send(Duration.ofSeconds(5), 90);

      assertThat(fixture.servers.sent().size() - admittedBefore)
          .isLessThanOrEqualTo((int) tolerated);
    }
  }
}

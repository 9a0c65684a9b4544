package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.internal.engine.traffic.Session;

/** Tests a workspace of a few operations a second whose callers are spread over the whole fleet. */
class SmallWorkspaceTest {
  private static final int ZONES = 5;
  private static final double RATE = 10;
  private static final int OPERATIONS = 250;

  /** 6.25 operations a second, the demand for which a limit of 10 a second is meant. */
  private static final Duration BETWEEN_OPERATIONS = Duration.ofMillis(160);

  /**
   * Guards against refusing operations within the rate because the tokens of the workspace are held
   * by other hosts, which outnumber them. Less than 1 in 500 may be refused.
   */
  @ParameterizedTest
  @ValueSource(ints = {13, 95, 130})
  void shouldAdmitOperationsWithinTheRateOnAnyNumberOfHosts(int hosts) {
    EngineFixture fixture = new EngineFixture(hosts, ZONES, EngineSettingsFixture.USUAL_BOUNDS);
    fixture.publish(
        EngineFixture.configuration(
            2, RATE, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
    fixture.run(Duration.ofSeconds(3));
    List<Session> sessions = new ArrayList<>();
    for (Engine host : fixture.hosts) {
      sessions.add(fixture.open(host, RouteKind.PRIMARY, new FakeCaller()));
    }
    fixture.run(Duration.ofSeconds(5));
    SplittableRandom random = new SplittableRandom(hosts);
    for (int i = 0; i < OPERATIONS; i++) {
      sessions
          .get(random.nextInt(hosts))
          .receive(RequestId.of("q" + i), new Statement.Data(false, "READ x"));
      fixture.run(BETWEEN_OPERATIONS);
    }

    assertThat(fixture.servers.sent()).hasSize(OPERATIONS);
  }
}

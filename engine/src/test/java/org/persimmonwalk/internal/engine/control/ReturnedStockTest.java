package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RelayClaim;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.internal.engine.traffic.Session;

/** Plays a relay that loses its role while it works. */
class ReturnedStockTest {
  /** More than tokens of the workspace, so that hosts hold none in advance. */
  private static final int HOSTS = 24;

  private static final double RATE = 4;
  private static final RateLimit LIMIT = new RateLimit(RATE, RATE);

  /** Far less than the 5.5 s after which the tokens of a lost lender can be taken. */
  private static final Duration RETURN_TIME = Duration.ofMillis(1500);

  private final EngineFixture fixture =
      new EngineFixture(HOSTS, 1, EngineSettingsFixture.USUAL_BOUNDS, StoreEra.of(1));

  private static EngineSettings settings(int number) {
    return EngineSettingsFixture.of(number, 1, EngineSettingsFixture.USUAL_BOUNDS);
  }

  private int relay() {
    for (int number = 0; number < HOSTS; number++) {
      if (fixture.entry(fixture.hosts.get(number), EngineEntries.RELAY_ROLE) == RelayRole.RELAY) {
        return number;
      }
    }
    throw new AssertionError("no relay");
  }

  private RateRow rateRow() {
    return RateRow.parse(fixture.rows.get(RateRow.key(EngineFixture.WORKSPACE)), LIMIT, 0);
  }

  /**
   * Guards against a former relay that keeps its stock until it expires: the next relay found no
   * tokens of a workspace while relays changed one after the other.
   */
  @Test
  void shouldReturnTheStockOfAFormerRelay() {
    fixture.publish(
        EngineFixture.configuration(
            2, RATE, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
    fixture.run(Duration.ofSeconds(3));
    Session session = fixture.open(fixture.hosts.get(0), RouteKind.PRIMARY, new FakeCaller());
    fixture.send(session, "q1", new Statement.Data(false, "READ x"));
    fixture.run(Duration.ofSeconds(2));
    int former = relay();
    int next = (former + 1) % HOSTS;
    assertThat(rateRow().tokensHeldBy(settings(former).host())).isPositive();

    fixture.write(
        RelayController.row(settings(next).zone()),
        new RelayClaim(
                new RelayHost(settings(next).host(), settings(next).peerEndpoint()),
                Optional.empty())
            .text());
    fixture.run(RETURN_TIME);

    assertThat(relay()).isEqualTo(next);
    assertThat(rateRow().tokensHeldBy(settings(former).host())).isZero();
  }
}

package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.testing.EngineFixture;

class VerificationTest {
  private final EngineFixture fixture = new EngineFixture(1);
  private final Engine host = fixture.hosts.get(0);

  private long verificationAgeMillis() {
    return fixture
        .entry(host, EngineEntries.VERIFIED_AT)
        .map(at -> fixture.clock.now().since(at).toMillis())
        .orElse(Long.MAX_VALUE);
  }

  @Test
  void shouldPutANewConfigurationInForceWithinThreeSeconds() {
    fixture.publish(EngineFixture.configuration(5, 10, Map.of()));
    fixture.run(Duration.ofSeconds(3));

    assertThat(fixture.entry(host, EngineEntries.CONFIGURATION).version()).isEqualTo(5);
  }

  /** Guards against reverting to an older configuration that a late answer contains. */
  @Test
  void shouldNeverRevertToAnOlderConfiguration() {
    fixture.publish(EngineFixture.configuration(5, 10, Map.of()));
    fixture.run(Duration.ofSeconds(2));
    fixture.publish(EngineFixture.configuration(4, 10, Map.of()));
    fixture.run(Duration.ofSeconds(2));

    assertThat(fixture.entry(host, EngineEntries.CONFIGURATION).version()).isEqualTo(5);
  }

  /** Guards against having no usable primary for a second because one answer was lost. */
  @Test
  void shouldStayVerifiedWhenOneAnswerIsLost() {
    fixture.run(Duration.ofSeconds(2));
    fixture.transactionsToLose = 1;
    long maximumAgeMillis = 0;
    for (int i = 0; i < 80; i++) {
      fixture.run(Duration.ofMillis(50));
      maximumAgeMillis = Math.max(maximumAgeMillis, verificationAgeMillis());
    }

    assertThat(maximumAgeMillis).isLessThan(2200);
  }

  @Test
  void shouldBeVerifiedAgainSoonAfterAnOutage() {
    fixture.storeIsUp = false;
    fixture.run(Duration.ofSeconds(6));
    assertThat(host.sessions().isReady()).isFalse();

    fixture.storeIsUp = true;
    fixture.run(Duration.ofMillis(1000));

    assertThat(host.sessions().isReady()).isTrue();
  }
}

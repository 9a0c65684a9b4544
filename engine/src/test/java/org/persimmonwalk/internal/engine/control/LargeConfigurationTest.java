package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.id.KeyHash;

/** Plays hosts whose links carry an answer with the configuration in 1.55 s, longer than a call. */
class LargeConfigurationTest {
  /** 290 KB, as base64 text, over 2 Mbit/s. */
  private static final Duration TRANSFER = Duration.ofMillis(1550);

  private static final Duration STEP = Duration.ofMillis(50);

  private final EngineFixture fixture =
      new EngineFixture(6, 2, EngineSettingsFixture.USUAL_BOUNDS);

  private static RoutingConfiguration configuration(long version) {
    return EngineFixture.configuration(
        version, 100, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE));
  }

  private long version(Engine host) {
    return fixture.entry(host, EngineEntries.CONFIGURATION).version();
  }

  /** Lets the zones choose their relays, and then makes the links small. */
  private void settle() {
    fixture.run(Duration.ofSeconds(5));
    fixture.link.configurationTransfer = TRANSFER;
  }

  /**
   * Guards against a configuration that no host ever has, because each call that would bring it is
   * given up on the way.
   */
  @Test
  void shouldPutALargeConfigurationInForceWithinTheBound() {
    settle();
    fixture.publish(configuration(5));
    fixture.run(EngineSettingsFixture.USUAL_BOUNDS.configurationApply());

    assertThat(fixture.hosts).allMatch(host -> version(host) == 5);
  }

  /** Guards against hosts that verify nothing, and refuse everything, during a long transfer. */
  @Test
  void shouldStayReadyDuringTheTransfer() {
    settle();
    fixture.publish(configuration(5));
    for (int i = 0; i < 100; i++) {
      fixture.run(STEP);
      assertThat(fixture.hosts).allMatch(host -> host.sessions().isReady());
    }
  }
}

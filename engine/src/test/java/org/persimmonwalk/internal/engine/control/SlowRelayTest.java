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
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.internal.engine.traffic.Session;

/**
 * Plays relays that are short of processor time: 16 hosts in 3 zones, whose relays reply after
 * hundreds of milliseconds.
 */
class SlowRelayTest {
  private static final int HOSTS = 16;
  private static final int ZONES = 3;
  private static final double RATE = 100;
  private static final int STEPS = 500;
  private static final Duration STEP = Duration.ofMillis(40);

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

  private void delayRepliesOfRelays(Duration delay) {
    for (int number = 0; number < HOSTS; number++) {
      if (fixture.entry(fixture.hosts.get(number), EngineEntries.RELAY_ROLE) == RelayRole.RELAY) {
        fixture.exchanges.delayReplies(
            EngineSettingsFixture.of(number, ZONES, EngineSettingsFixture.USUAL_BOUNDS)
                .peerEndpoint(),
            delay);
      }
    }
  }

  /** Sends 25 operations a second through random hosts; returns how many were admitted. */
  private int sendAndCountAdmitted() {
    int before = fixture.servers.sent().size();
    for (int i = 0; i < STEPS; i++) {
      sessions
          .get(random.nextInt(HOSTS))
          .receive(RequestId.of("q" + i), new Statement.Data(false, "READ x"));
      fixture.run(STEP);
    }
    return fixture.servers.sent().size() - before;
  }

  private long events(String name) {
    return fixture.events.stream().filter(event -> event.startsWith(name)).count();
  }

  /**
   * Guards against hosts that take a slow relay for a lost one: they replace it and take tokens
   * from the store themselves, all of them from the same rows.
   */
  @Test
  void shouldKeepARelayThatRepliesSlowly() {
    int before = fixture.storeCalls;
    sendAndCountAdmitted();
    int callsInCalm = fixture.storeCalls - before;
    before = fixture.storeCalls;
    long changes = events("relay-changed");
    delayRepliesOfRelays(Duration.ofMillis(300));
    int admitted = sendAndCountAdmitted();

    assertThat(events("lender-failed")).isZero();
    assertThat(events("relay-changed")).isEqualTo(changes);
    assertThat(fixture.storeCalls - before).isLessThanOrEqualTo(callsInCalm * 5 / 4);
    assertThat(admitted).isGreaterThanOrEqualTo(STEPS * 97 / 100);
  }

  /**
   * Guards against dropping replies whose tokens are still valid. With 600 ms a host has one reply
   * for each operation or two, so some operations find no token.
   */
  @Test
  void shouldUseLateReplies() {
    delayRepliesOfRelays(Duration.ofMillis(600));
    int admitted = sendAndCountAdmitted();

    assertThat(fixture.exchanges.lateReplies()).isZero();
    assertThat(admitted).isGreaterThanOrEqualTo(STEPS * 80 / 100);
  }

  /**
   * Guards against operations that wait for a single lender that does not reply, while another one
   * would: the host asks the next one in addition.
   */
  @Test
  void shouldAskAnotherLenderWhileOneDoesNotReply() {
    Engine silent =
        fixture.hosts.stream()
            .filter(host -> fixture.entry(host, EngineEntries.RELAY_ROLE) == RelayRole.RELAY)
            .findFirst()
            .orElseThrow();
    sendAndCountAdmitted();
    sessions.remove(fixture.hosts.indexOf(silent));
    fixture.freeze(silent, true);
    int before = fixture.servers.sent().size();
    for (int i = 0; i < STEPS; i++) {
      sessions
          .get(random.nextInt(HOSTS - 1))
          .receive(RequestId.of("q" + i), new Statement.Data(false, "READ x"));
      fixture.run(STEP);
    }

    assertThat(fixture.servers.sent().size() - before).isGreaterThanOrEqualTo(STEPS * 98 / 100);
  }
}

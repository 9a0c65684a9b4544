package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
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
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.internal.engine.traffic.Session;
import org.persimmonwalk.model.SocketEndpoint;

/**
 * Plays a large workspace whose tokens one relay takes from the row and the relays of the other two
 * zones borrow, under many times its rate.
 */
class BorrowedTokensTest {
  private static final int HOSTS = 9;
  private static final int ZONES = 3;
  private static final double RATE = 40;
  private static final Duration STEP = Duration.ofMillis(10);
  private static final int WINDOW_STEPS = 500;
  private static final double TOLERATED = (RATE * 5 + RATE) * 1.1 + 20;

  private final EngineFixture fixture =
      new EngineFixture(HOSTS, ZONES, EngineSettingsFixture.USUAL_BOUNDS, StoreEra.of(1));
  private final Map<Integer, Session> sessions = new HashMap<>();
  private final SplittableRandom random = new SplittableRandom(HOSTS);
  private final List<Integer> admitted = new ArrayList<>(List.of(0));

  @BeforeEach
  void openSessions() {
    fixture.publish(
        EngineFixture.configuration(
            2, RATE, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
    fixture.run(Duration.ofSeconds(3));
    for (int number = 0; number < HOSTS; number++) {
      open(number);
    }
    fixture.run(Duration.ofSeconds(3));
  }

  private void open(int number) {
    sessions.put(
        number, fixture.open(fixture.hosts.get(number), RouteKind.PRIMARY, new FakeCaller()));
  }

  private static AvailabilityZone zone(int number) {
    return EngineSettingsFixture.of(number, ZONES, EngineSettingsFixture.USUAL_BOUNDS).zone();
  }

  private static SocketEndpoint endpoint(int number) {
    return EngineSettingsFixture.of(number, ZONES, EngineSettingsFixture.USUAL_BOUNDS)
        .peerEndpoint();
  }

  private int relay(boolean ofOwner) {
    AvailabilityZone owner =
        LenderChoice.owner(
            EngineFixture.WORKSPACE,
            EngineSettingsFixture.of(0, ZONES, EngineSettingsFixture.USUAL_BOUNDS));
    for (int number = 0; number < HOSTS; number++) {
      if (zone(number).equals(owner) == ofOwner
          && fixture.entry(fixture.hosts.get(number), EngineEntries.RELAY_ROLE)
              == RelayRole.RELAY) {
        return number;
      }
    }
    throw new AssertionError("no relay");
  }

  /** Sends operations at random times through the hosts that have a session. */
  private int send(Duration duration, double perSecond) {
    int before = fixture.servers.sent().size();
    List<Integer> numbers = List.copyOf(sessions.keySet());
    for (long at = 0; at < duration.toMillis(); at += STEP.toMillis()) {
      double due = perSecond * STEP.toMillis() / 1000;
      while (due > 0 && random.nextDouble() < due) {
        sessions
            .get(numbers.get(random.nextInt(numbers.size())))
            .receive(RequestId.of("q"), new Statement.Data(false, "READ x"));
        due--;
      }
      fixture.run(STEP);
      admitted.add(fixture.servers.sent().size());
    }
    return fixture.servers.sent().size() - before;
  }

  private int mostInAWindow() {
    int most = 0;
    for (int end = 0; end < admitted.size(); end++) {
      most = Math.max(most, admitted.get(end) - admitted.get(Math.max(0, end - WINDOW_STEPS)));
    }
    return most;
  }

  private void assertThatTheLimitIsKept() {
    assertThat(mostInAWindow()).isLessThanOrEqualTo((int) TOLERATED);
  }

  /**
   * Guards against relays that write the row of a workspace beside its lender in calm operation.
   */
  @Test
  void shouldTakeTheTokensOfAllZonesAtOneHost() {
    send(Duration.ofSeconds(3), 25);
    int conflicts = fixture.transactions.conflictsByPurpose.getOrDefault("take-tokens", 0);
    int before = fixture.servers.sent().size();
    send(Duration.ofSeconds(10), 25);

    assertThat(fixture.transactions.conflictsByPurpose.getOrDefault("take-tokens", 0))
        .isEqualTo(conflicts);
    assertThat(fixture.events).noneMatch(event -> event.startsWith("operation-refused"));
    assertThat(fixture.servers.sent().size() - before).isGreaterThan(200);
  }

  /** Guards against borrowed tokens that are spent twice when the lender dies. */
  @Test
  void shouldKeepTheLimitAndServeWhenTheLenderIsLost() {
    send(Duration.ofSeconds(5), 160);
    int lost = relay(true);
    sessions.remove(lost);
    fixture.freeze(fixture.hosts.get(lost), true);
    send(Duration.ofSeconds(4), 160);
    int after = send(Duration.ofSeconds(6), 160);

    assertThatTheLimitIsKept();
    assertThat(after).isGreaterThanOrEqualTo((int) (RATE * 6 * 0.7));
  }

  /** Guards against a lender that still lends what others have taken while it was frozen. */
  @Test
  void shouldKeepTheLimitWhenAFrozenLenderContinues() {
    send(Duration.ofSeconds(5), 160);
    Engine frozen = fixture.hosts.get(relay(true));
    for (int i = 0; i < 3; i++) {
      fixture.freeze(frozen, true);
      send(Duration.ofMillis(1700), 160);
      fixture.freeze(frozen, false);
      send(Duration.ofMillis(1200), 160);
    }

    assertThatTheLimitIsKept();
  }

  /** Guards against tokens that both sides of a partition spend. */
  @Test
  void shouldKeepTheLimitWhileRelaysCannotReachEachOther() {
    send(Duration.ofSeconds(5), 160);
    fixture.peersAreReachable = false;
    send(Duration.ofSeconds(7), 160);
    fixture.peersAreReachable = true;
    send(Duration.ofSeconds(5), 160);

    assertThatTheLimitIsKept();
  }

  /**
   * Guards against a restarted relay that tells the lender that it holds no tokens while the hosts
   * of its zone still spend what its previous process has lent them.
   */
  @Test
  void shouldKeepTheLimitWhileABorrowingRelayIsRestarted() {
    send(Duration.ofSeconds(3), 30);
    for (int i = 0; i < 4; i++) {
      int number = relay(false);
      fixture.restart(fixture.hosts.get(number));
      sessions.remove(number);
      fixture.run(Duration.ofMillis(200));
      send(Duration.ofMillis(1500), 160);
    }

    assertThatTheLimitIsKept();
  }

  /** Guards against tokens of the lender's previous process that are spent beside new ones. */
  @Test
  void shouldKeepTheLimitWhileTheLenderIsRestarted() {
    send(Duration.ofSeconds(3), 30);
    for (int i = 0; i < 4; i++) {
      int number = relay(true);
      fixture.restart(fixture.hosts.get(number));
      sessions.remove(number);
      fixture.run(Duration.ofMillis(200));
      send(Duration.ofMillis(1500), 160);
    }

    assertThatTheLimitIsKept();
  }

  /** Guards against late replies between relays that extend or double tokens. */
  @Test
  void shouldKeepTheLimitWithLateReplies() {
    SplittableRandom delays = new SplittableRandom(1);
    for (int number = 0; number < HOSTS; number++) {
      fixture.exchanges.delayReplies(
          endpoint(number), () -> Duration.ofMillis(delays.nextInt(20, 1500)));
    }
    send(Duration.ofSeconds(12), 160);

    assertThatTheLimitIsKept();
  }

  /** Guards against borrowed tokens that outlive the store or count twice with lost answers. */
  @Test
  void shouldKeepTheLimitWhenTheStoreFails() {
    send(Duration.ofSeconds(3), 160);
    fixture.transactionsToLose = 5;
    send(Duration.ofSeconds(3), 160);
    fixture.lateEffects.count = 5;
    send(Duration.ofSeconds(3), 160);
    fixture.storeIsUp = false;
    send(Duration.ofSeconds(6), 160);
    int without = send(Duration.ofSeconds(2), 160);
    fixture.storeIsUp = true;
    send(Duration.ofSeconds(6), 160);

    assertThat(without).isZero();
    assertThatTheLimitIsKept();
  }

  /** Guards against spending the tokens of a store that came back from a copy once more. */
  @Test
  void shouldKeepTheLimitWhenTheStoreComesBackFromACopy() {
    send(Duration.ofSeconds(4), 160);
    fixture.loseStoreToCopy(Duration.ofSeconds(3), Duration.ofMillis(300), Duration.ofMillis(500));
    send(Duration.ofSeconds(10), 160);

    assertThatTheLimitIsKept();
  }

  /** Guards against spending borrowed tokens from before a suspension of all machines. */
  @Test
  void shouldKeepTheLimitAfterASuspension() {
    send(Duration.ofSeconds(3), 160);
    fixture.stepWallClock(Duration.ofSeconds(8));
    send(Duration.ofSeconds(6), 160);

    assertThatTheLimitIsKept();
  }

  /** Guards against borrowing, or refusing, by a limit that is no longer in force. */
  @Test
  void shouldServeAfterTheLimitChangesAndTheWorkspaceIsRemoved() {
    send(Duration.ofSeconds(3), 10);
    fixture.publish(
        EngineFixture.configuration(
            3, 400, Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE)));
    send(Duration.ofSeconds(2), 100);
    int raised = send(Duration.ofSeconds(5), 100);
    fixture.publish(EngineFixture.configuration(4, 400, Map.of()));
    send(Duration.ofSeconds(5), 10);
    int removed = send(Duration.ofSeconds(2), 10);

    assertThat(raised).isGreaterThanOrEqualTo(470);
    assertThat(removed).isZero();
  }
}

package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonwalk.internal.engine.traffic.CandidateBuilder.candidate;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.internal.engine.traffic.ServerChoice.Candidate;
import org.persimmonwalk.port.RandomSource;

class WeightedTwoChoicesTest {
  private static final int CHOICES = 20_000;

  private final ServerChoice choice = WeightedTwoChoices.create(RandomSource.seeded(7));

  /** Returns the part of the choices that each candidate gets. */
  private Map<Candidate, Double> shares(Candidate... candidates) {
    Map<Candidate, Double> shares = new HashMap<>();
    for (int i = 0; i < CHOICES; i++) {
      shares.merge(choice.choose(List.of(candidates)).orElseThrow(), 1.0 / CHOICES, Double::sum);
    }
    return shares;
  }

  /** Guards against hosts with equal samples that all choose the same server. */
  @Test
  void shouldSpreadOverServersThatDifferLittle() {
    Candidate fast = candidate().latencyMillis(19).build();
    Candidate medium = candidate().latencyMillis(20).build();
    Candidate slow = candidate().latencyMillis(21).build();

    assertThat(shares(fast, medium, slow).values()).allMatch(share -> share > 0.30 && share < 0.37);
  }

  /** Guards against weights without bound, by which one server gets everything. */
  @Test
  void shouldSpreadOverServersThatAnswerAtOnce() {
    Candidate first = candidate().latencyMillis(0).build();
    Candidate second = candidate().latencyMillis(0.1).build();

    assertThat(shares(first, second).get(first)).isBetween(0.47, 0.53);
  }

  /** Guards against a slow server that gets nothing, or as much as the others. */
  @Test
  void shouldGiveAQuarterToAServerFourTimesSlower() {
    Candidate slow = candidate().latencyMillis(80).build();
    Candidate first = candidate().slots(4).latencyMillis(16).build();
    Candidate second = candidate().build();

    Map<Candidate, Double> shares = shares(slow, first, second);

    assertThat(shares.get(slow) / shares.get(first)).isBetween(0.22, 0.28);
  }

  /** Guards against a draw that ignores that a server runs more statements at once. */
  @Test
  void shouldDrawBySlots() {
    Candidate large = candidate().slots(6).build();
    Candidate small = candidate().slots(3).build();

    Map<Candidate, Double> shares = shares(large, small);

    assertThat(shares.get(large) / shares.get(small)).isBetween(1.8, 2.2);
  }

  /** Guards against statements that wait behind this host's own while another server is free. */
  @Test
  void shouldAvoidTheServerThatIsBusyWithOwnStatements() {
    Candidate busy = candidate().outstanding(3).build();
    Candidate free = candidate().build();

    assertThat(shares(busy, free)).containsOnlyKeys(free);
  }

  /** Guards against servers that other hosts keep full. */
  @Test
  void shouldAvoidTheServerThatOtherHostsOverload() {
    Candidate overloaded = candidate().outstandingElsewhere(12).build();
    Candidate busy = candidate().outstandingElsewhere(4).build();

    assertThat(shares(overloaded, busy)).containsOnlyKeys(busy);
  }

  /** Guards against herding: below the slots old figures of other hosts must change nothing. */
  @Test
  void shouldIgnoreWorkOfOtherHostsThatDelaysNothing() {
    Candidate busy = candidate().outstandingElsewhere(5).build();
    Candidate idle = candidate().outstandingElsewhere(0).connected(true).slots(5).build();

    assertThat(shares(busy, idle).get(busy)).isBetween(0.47, 0.53);
  }

  /** Guards against opening a connection for each statement of a workspace. */
  @Test
  void shouldKeepTheServerToWhichTheWorkspaceIsConnected() {
    Candidate connected = candidate().latencyMillis(40).build();
    Candidate fresh = candidate().latencyMillis(15).connected(false).build();
    Candidate full = candidate().connected(false).withoutSpareConnection().build();

    assertThat(shares(connected, fresh).get(connected)).isBetween(0.98, 1.0);
    assertThat(shares(connected, full)).containsOnlyKeys(connected);
  }

  /** Guards against a workspace that stays with a server that has become slow. */
  @Test
  void shouldLeaveTheConnectedServerForAClearlyBetterOne() {
    Candidate connected = candidate().latencyMillis(160).build();
    Candidate fresh = candidate().latencyMillis(20).connected(false).build();

    assertThat(shares(connected, fresh)).containsOnlyKeys(fresh);
  }

  /** Guards against a recovered server that no workspace connects to any more. */
  @Test
  void shouldNowAndThenUseAServerWithoutAConnection() {
    Candidate connected = candidate().build();
    Candidate fresh = candidate().connected(false).build();

    assertThat(shares(connected, fresh).get(fresh)).isBetween(0.003, 0.008);
  }

  /** Guards against workspaces that close each other's connections in turns. */
  @Test
  void shouldRatherOpenAConnectionWhereNoneHasToBeClosed() {
    Candidate full = candidate().connected(false).withoutSpareConnection().build();
    Candidate spare = candidate().connected(false).build();

    assertThat(shares(full, spare).get(spare)).isGreaterThan(0.8);
  }

  /** Guards against parts that stay uneven because workspaces keep to their connections. */
  @Test
  void shouldDrawAServerThatGetsLessThanItsPartMoreOften() {
    Candidate little = candidate().reportedAnswers(20).build();
    Candidate much = candidate().reportedAnswers(60).build();

    Map<Candidate, Double> shares = shares(little, much);

    assertThat(shares.get(little) / shares.get(much)).isBetween(2.4, 3.6);
  }

  /** Guards against reads that load the primary, which has the writes, as much as a replica. */
  @Test
  void shouldGiveThePrimaryFewerReads() {
    Candidate primary = candidate().primary().build();
    Candidate replica = candidate().build();

    assertThat(shares(primary, replica).get(primary)).isBetween(0.37, 0.43);
  }

  /** Guards against hosts that read at the primary only because their writes need it. */
  @Test
  void shouldNotKeepReadsAtThePrimaryForItsConnection() {
    Candidate primary = candidate().primary().build();
    Candidate replica = candidate().connected(false).build();
    Candidate otherReplica = candidate().connected(false).slots(6).build();

    assertThat(shares(primary, replica, otherReplica).get(primary)).isBetween(0.15, 0.3);
  }

  /** Guards against needless traffic between zones, which is charged. */
  @Test
  void shouldPreferTheOwnZoneAmongEqualServers() {
    Candidate near = candidate().build();
    Candidate far = candidate().otherZone().build();

    assertThat(shares(near, far).get(near)).isBetween(0.52, 0.58);
  }

  /** Guards against a returning server that gets its whole load at once. */
  @Test
  void shouldGiveAReturningServerItsShareOnly() {
    Candidate returning = candidate().share(0.125).build();
    Candidate healthy = candidate().build();

    Map<Candidate, Double> shares = shares(returning, healthy);

    assertThat(shares.get(returning)).isBetween(0.09, 0.13);
  }

  /** Guards against ejections that overload the servers that are left. */
  @Test
  void shouldLeaveOutHalfOfTheServersAtMost() {
    Candidate returnsSoon = candidate().ejectedFor(Duration.ofMillis(100)).build();
    Candidate returnsLater = candidate().ejectedFor(Duration.ofMillis(200)).build();
    Candidate alsoLater = candidate().ejectedFor(Duration.ofMillis(200)).slots(4).build();
    Candidate healthy = candidate().build();
    Candidate unreachable = candidate().unusable().build();

    assertThat(shares(returnsSoon, returnsLater, alsoLater, healthy))
        .containsOnlyKeys(returnsSoon, healthy);
    assertThat(shares(returnsSoon, returnsLater, healthy)).containsOnlyKeys(returnsSoon, healthy);
    assertThat(shares(returnsSoon, returnsLater, unreachable)).containsOnlyKeys(returnsSoon);
    assertThat(shares(returnsLater)).containsOnlyKeys(returnsLater);
  }

  @Test
  void shouldNotChooseAnUnusableServer() {
    assertThat(choice.choose(List.of(candidate().unusable().build()))).isEmpty();
    assertThat(choice.choose(List.of())).isEmpty();
  }
}

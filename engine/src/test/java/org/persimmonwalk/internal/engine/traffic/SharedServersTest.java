package org.persimmonwalk.internal.engine.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.Answer;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.SessionState;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.engine.testing.FakeServers.Sent;

/** Tests servers in trouble that more hosts share than they have slots. */
class SharedServersTest {
  /** More than the nine slots of the fixture's servers. */
  private static final int HOSTS = 12;

  private static final int READS = 1200;
  private static final Duration BETWEEN_READS = Duration.ofMillis(20);
  private static final Statement READ = new Statement.Data(false, "READ x");

  /** Retries that a host may have saved up. */
  private static final int SAVED_RETRIES = 10;

  private final EngineFixture fixture = new EngineFixture(HOSTS);
  private final FakeCaller caller = new FakeCaller();
  private final List<Session> sessions = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(3);
  private int reads;

  @BeforeEach
  void startFleet() {
    fixture.run(Duration.ofSeconds(9));
    for (Engine host : fixture.hosts) {
      assertThat(fixture.entry(host, EngineEntries.FLEET_SIZE)).isEqualTo(HOSTS);
      sessions.add(fixture.open(host, RouteKind.BOUNDED_STALENESS, caller));
    }
    read(READS);
    fixture.servers.sent().clear();
  }

  private void read(int count) {
    for (int i = 0; i < count; i++) {
      sessions.get(random.nextInt(HOSTS)).receive(RequestId.of("r" + reads++), READ);
      fixture.run(BETWEEN_READS);
    }
  }

  private Map<String, Integer> readsByServer() {
    Map<String, Integer> counts = new HashMap<>();
    for (Sent sent : fixture.servers.sent()) {
      if (sent.isText("READ x")) {
        counts.merge(sent.server().value(), 1, Integer::sum);
      }
    }
    return counts;
  }

  private int totalReads() {
    return readsByServer().values().stream().mapToInt(Integer::intValue).sum();
  }

  private Optional<Answer> fail() {
    return Optional.of(Answer.failed(FailureCode.FAILED, "failed", SessionState.IDLE));
  }

  private long logged(String event) {
    return fixture.events.stream().filter(line -> line.startsWith(event)).count();
  }

  /** Guards against hosts that all send their reads to the same server. */
  @Test
  void shouldSpreadReadsOverEqualServers() {
    read(READS);

    assertThat(readsByServer()).hasSize(3);
    assertThat(readsByServer().values()).allMatch(count -> count < 1.5 * READS / 3);
  }

  /**
   * Guards against a server that fails half of its reads, reports good health and gets a third of
   * all reads nevertheless.
   */
  @Test
  void shouldLeaveOutAServerThatFailsAPartOfItsReads() {
    fixture.servers.behave(
        sent ->
            sent.isText("READ x") && sent.server().value().equals("s2") && random.nextBoolean()
                ? fail()
                : fixture.servers.success(sent));
    long before = caller.succeeded();

    read(READS);

    assertThat(caller.succeeded() - before).isGreaterThan(READS * 99L / 100);
    assertThat(readsByServer().get("s2")).isLessThan(READS / 10);
    assertThat(totalReads()).isLessThanOrEqualTo(READS * 110 / 100 + HOSTS * SAVED_RETRIES);
    assertThat(logged("server-left[server, s2")).isPositive();
    assertThat(logged("server-left[server, s3")).isZero();
  }

  /** Guards against a server that goes down and up in turns and is trusted each time. */
  @Test
  void shouldLeaveOutAServerThatGoesDownAndUp() {
    fixture.servers.behave(
        sent ->
            sent.isText("READ x")
                    && sent.server().value().equals("s2")
                    && fixture.clock.now().nanoseconds() / 500_000_000 % 2 == 0
                ? fail()
                : fixture.servers.success(sent));
    long before = caller.succeeded();

    read(READS);

    assertThat(caller.succeeded() - before).isGreaterThan(READS * 99L / 100);
    assertThat(readsByServer().get("s2")).isLessThan(READS / 5);
  }

  /** Guards against a recovered server that stays idle. */
  @Test
  void shouldUseAServerAgainThatHasRecovered() {
    fixture.servers.behave(
        sent ->
            sent.isText("READ x") && sent.server().value().equals("s2")
                ? fail()
                : fixture.servers.success(sent));
    read(READS);
    fixture.servers.behave(fixture.servers::success);
    read(READS);
    fixture.servers.sent().clear();

    read(READS);

    assertThat(readsByServer().get("s2")).isGreaterThan(READS / 6);
    assertThat(logged("server-returned[server, s2")).isPositive();
  }

  /** Guards against ejections that leave no server, and against retries that multiply the load. */
  @Test
  void shouldServeReadsWhileTwoOfThreeServersFailAPart() {
    fixture.servers.behave(
        sent ->
            sent.isText("READ x") && !sent.server().value().equals("s3") && random.nextInt(4) == 0
                ? fail()
                : fixture.servers.success(sent));
    long before = caller.succeeded();

    read(READS);

    assertThat(caller.succeeded() - before).isGreaterThan(READS * 95L / 100);
    assertThat(totalReads()).isLessThanOrEqualTo(READS * 110 / 100 + HOSTS * SAVED_RETRIES);
  }

  /** Guards against retries that multiply the load while all servers are overloaded. */
  @Test
  void shouldRetryLittleWhileAllServersAreOverloaded() {
    fixture.servers.behave(
        sent ->
            sent.isText("READ x")
                ? Optional.of(Answer.failed(FailureCode.OVERLOADED, "busy", SessionState.IDLE))
                : fixture.servers.success(sent));
    for (int i = 0; i < READS; i++) {
      Session session = sessions.get(i % HOSTS);
      // Keeps a position known, without which a read has the primary only.
      session.receive(RequestId.of("p" + i), new Statement.Data(false, "READ y"));
      session.receive(RequestId.of("o" + i), READ);
      fixture.run(BETWEEN_READS);
    }

    // Both reads are requests from which the budget grows.
    assertThat(totalReads()).isLessThanOrEqualTo(READS * 120 / 100 + HOSTS * SAVED_RETRIES);
    assertThat(caller.lastCode()).contains(FailureCode.OVERLOADED);
  }

  /** Guards against a server that refuses all its reads, fast, and so seems to be the best. */
  @Test
  void shouldLeaveOutAServerThatRefusesItsReads() {
    fixture.servers.behave(
        sent ->
            sent.isText("READ x") && sent.server().value().equals("s2")
                ? Optional.of(Answer.failed(FailureCode.OVERLOADED, "busy", SessionState.IDLE))
                : fixture.servers.success(sent));
    long before = caller.succeeded();

    read(READS);

    assertThat(caller.succeeded() - before).isGreaterThan(READS * 99L / 100);
    assertThat(readsByServer().get("s2")).isLessThan(READS / 10);
  }

  /** Guards against a caller's faulty statement that ejects servers. */
  @Test
  void shouldNotEjectServersForAStatementThatFailsEverywhere() {
    fixture.servers.behave(sent -> sent.isText("READ x") ? fail() : fixture.servers.success(sent));

    read(READS / 10);

    assertThat(logged("server-left")).isZero();
  }

  /** Guards against reads that depend on the relay, which only makes the choice better. */
  @Test
  void shouldSpreadReadsWhileTheRelayIsGone() {
    Engine relay =
        fixture.hosts.stream()
            .filter(
                host ->
                    fixture.entry(host, EngineEntries.RELAY_ROLE).kind() == RelayRole.Kind.RELAY)
            .findFirst()
            .orElseThrow();
    fixture.freeze(relay, true);
    sessions.remove(fixture.hosts.indexOf(relay));

    for (int i = 0; i < READS; i++) {
      sessions.get(random.nextInt(sessions.size())).receive(RequestId.of("g" + i), READ);
      fixture.run(BETWEEN_READS);
    }

    assertThat(logged("statement-failed")).isZero();
    assertThat(readsByServer().values()).allMatch(count -> count < 1.5 * READS / 3);
  }
}

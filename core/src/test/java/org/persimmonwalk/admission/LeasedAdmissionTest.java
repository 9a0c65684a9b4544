package org.persimmonwalk.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ShareLease;
import org.persimmonwalk.model.TokenOrder;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.observation.DemandMeasured;
import org.persimmonwalk.observation.TokenOrderCompleted;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FakeClock;
import org.persimmonwalk.testing.RecordingCommandExecutor;

class LeasedAdmissionTest {
  private static final WorkspaceId OIL = WorkspaceId.of("oil");
  private static final MonotonicTime END = MonotonicTime.of(Duration.ofSeconds(100).toNanos());

  private final FakeClock clock = new FakeClock();
  private final ConcurrentLinkedQueue<Observation> observations = new ConcurrentLinkedQueue<>();
  private final LeasedAdmission admission = LeasedAdmission.of(observations::add);
  private ShareLease lease = ShareLease.of(10, 5, END, TokenOrder.NONE);
  private final ControlLoop loop =
      ControlLoop.of(
          List.of(
              (blackboard, context) -> {
                blackboard.put(Entries.CONFIGURATION, configuration());
                blackboard.put(Entries.SHARES, Map.of(OIL, lease));
              }),
          new RecordingCommandExecutor(),
          clock,
          RandomSource.seeded(1));

  /** Guards against a host that exceeds the burst by rejoining repeatedly with a full bucket. */
  @Test
  void shouldStartNewLeaseWithoutTokens() {
    publish(lease);
    assertThat(admit()).isFalse();
    clock.advance(Duration.ofMillis(100));
    assertThat(admit()).isTrue();
    assertThat(admit()).isFalse();
  }

  /** Guards against a bucket that keeps filling while the workspace is idle. */
  @Test
  void shouldHoldNoMoreThanBurst() {
    publish(lease);
    clock.advance(Duration.ofSeconds(50));
    assertThat(admitted()).isEqualTo(5);
  }

  /**
   * Guards against statements admitted after the lease has expired. The control thread may not have
   * run since then, for example after a pause of the process.
   */
  @Test
  void shouldRefuseWhenLeaseExpiresWithoutNewSnapshot() {
    publish(lease);
    clock.advance(Duration.ofSeconds(99));
    assertThat(admit()).isTrue();
    clock.advance(Duration.ofSeconds(1));
    assertThat(admit()).isFalse();
  }

  /** Guards against a renewed lease that restores the tokens of an expired one. */
  @Test
  void shouldLoseTokensWhenLeaseHasExpired() {
    publish(lease);
    clock.advance(Duration.ofSeconds(101));
    publish(ShareLease.of(10, 5, END.plus(Duration.ofSeconds(100)), TokenOrder.NONE));
    assertThat(admit()).isFalse();
  }

  /**
   * Guards against a share that is used twice: a traffic thread may still hold the snapshot from
   * before the share was transferred to a peer.
   */
  @Test
  void shouldApplyLoweredLeaseDespiteOlderSnapshot() {
    publish(lease);
    Snapshot older = loop.snapshot();
    clock.advance(Duration.ofSeconds(50));
    publish(ShareLease.of(0, 1, END, TokenOrder.NONE));
    assertThat(admission.admit(older, OIL, clock.now())).isTrue();
    clock.advance(Duration.ofSeconds(1));
    assertThat(admission.admit(older, OIL, clock.now())).isFalse();
  }

  /**
   * Guards against an order that is executed twice: each snapshot repeats it until its execution is
   * reported.
   */
  @Test
  void shouldExecuteTokenOrderOnce() {
    publish(lease);
    TokenOrder order = TokenOrder.of(1, 2, 0);
    publish(ShareLease.of(0, 5, END, order));
    publish(ShareLease.of(0, 5, END, order));
    assertThat(admitted()).isEqualTo(2);
    assertThat(completedOrders()).containsExactly(new TokenOrderCompleted(OIL, 1, 0));
  }

  /**
   * Guards against tokens above the lowered burst that are discarded instead of transferred to the
   * peer, and against a withdrawal that leaves no token for a statement.
   */
  @Test
  void shouldWithdrawTokensAboveLoweredBurst() {
    publish(lease);
    clock.advance(Duration.ofSeconds(50));
    publish(ShareLease.of(0, 2, END, TokenOrder.of(1, 0, 9)));
    assertThat(completedOrders()).containsExactly(new TokenOrderCompleted(OIL, 1, 3));
    assertThat(admitted()).isEqualTo(2);
  }

  /** Guards against demand that counts admitted statements only and never exceeds the rate. */
  @Test
  void shouldMeasureDemandIncludingRefusedStatements() {
    publish(lease);
    for (int i = 0; i < 500; i++) {
      clock.advance(Duration.ofMillis(10));
      admit();
    }
    List<DemandMeasured> measured = all(DemandMeasured.class);
    assertThat(measured.get(measured.size() - 1).demand()).isBetween(90.0, 110.0);
  }

  /** Guards against a race in which a token is used at this host and transferred to a peer too. */
  @Test
  void shouldNeverBothAdmitAndWithdrawToken() throws Exception {
    lease = ShareLease.of(1000, 50_000, END, TokenOrder.NONE);
    publish(lease);
    clock.advance(Duration.ofSeconds(50));
    publish(lease);
    ExecutorService threads = Executors.newFixedThreadPool(4);
    List<Future<Integer>> results = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      results.add(threads.submit((Callable<Integer>) () -> admittedOf(20_000)));
    }
    for (int number = 1; number <= 2_000; number++) {
      publish(ShareLease.of(0, 50_000, END, TokenOrder.of(number, 0, 5)));
    }
    int admitted = 0;
    for (Future<Integer> result : results) {
      admitted += result.get();
    }
    threads.shutdown();
    admitted += admitted();
    double withdrawn = completedOrders().stream().mapToDouble(TokenOrderCompleted::withdrawn).sum();
    assertThat(admitted + withdrawn).isEqualTo(50_000);
  }

  private void publish(ShareLease published) {
    lease = published;
    loop.runRound();
    admission.onPublished(loop.snapshot());
  }

  private boolean admit() {
    return admission.admit(loop.snapshot(), OIL, clock.now());
  }

  private int admitted() {
    return admittedOf(60_000);
  }

  private int admittedOf(int statements) {
    int admitted = 0;
    for (int i = 0; i < statements; i++) {
      admitted += admit() ? 1 : 0;
    }
    return admitted;
  }

  private List<TokenOrderCompleted> completedOrders() {
    return all(TokenOrderCompleted.class);
  }

  private <T extends Observation> List<T> all(Class<T> type) {
    return observations.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private static Configuration configuration() {
    return new Configuration(
        Revision.of(1),
        ReleaseNoteId.of("first"),
        Map.of(OIL, Workspace.of(OIL, 10, 5, Set.of())),
        Map.of(),
        Map.of());
  }
}

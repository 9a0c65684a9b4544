package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.ColdServer;
import org.persimmonwalk.engine.control.ServerConnectionLost;
import org.persimmonwalk.engine.control.SuspectedRestart;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.SocketEndpoint;

class ColdServersTest {
  private static final BackendServerId ID = BackendServerId.of("s1");
  private static final Duration HEARTBEAT = Duration.ofMillis(1200);
  private static final Duration RECHECK = Duration.ofMillis(2500);

  private final ColdServers servers = new ColdServers(HEARTBEAT, RECHECK);

  private static ServerEntry process(long startedAt, long coldLeftMillis) {
    return new ServerEntry(
        ID,
        EngineFixture.GROUP,
        SocketEndpoint.of("10.0.0.1", 1000),
        AvailabilityZone.of("a"),
        3,
        false,
        false,
        startedAt,
        Duration.ofMillis(coldLeftMillis));
  }

  private static MonotonicTime at(long millis) {
    return MonotonicTime.of(millis * 1_000_000);
  }

  private boolean isCold(long millis) {
    return servers.at(at(millis)).containsKey(ID);
  }

  private void list(long readAtMillis, ServerEntry entry) {
    servers.applyList(List.of(entry), at(readAtMillis));
  }

  private void lose(ServerEntry server, long atMillis) {
    servers.connectionLost(new ServerConnectionLost(server, at(atMillis), false));
  }

  /** Guards against full load while the entry, a heartbeat old, says that the time is over. */
  @Test
  void shouldCountDownFromTheListAndAddAHeartbeat() {
    list(0, process(1, 5000));

    assertThat(isCold(6190)).isTrue();
    assertThat(isCold(6200)).isFalse();
  }

  /** Guards against a server that stays cold since a host keeps the entry that it got first. */
  @Test
  void shouldNotExtendTheTimeByLaterListsWithTheSameEntry() {
    list(0, process(1, 5000));
    list(4000, process(1, 5000));
    assertThat(isCold(6200)).isFalse();

    list(8000, process(1, 5000));
    assertThat(isCold(8000)).isFalse();
  }

  @Test
  void shouldBeWarmOnceTheServerSaysSo() {
    list(0, process(1, 5000));
    list(2000, process(1, 0));

    assertThat(isCold(2000)).isFalse();
  }

  /** Guards against a burst to a restarted server that the list does not show yet. */
  @Test
  void shouldCountAsColdAfterALossUntilALateEnoughListShowsTheSameProcess() {
    lose(process(1, 0), 1000);
    list(3000, process(1, 0));
    assertThat(isCold(3000)).isTrue();

    list(3500, process(1, 0));
    assertThat(isCold(3500)).isFalse();
  }

  /** Guards against a second loss that the list for the first one would settle. */
  @Test
  void shouldCountFromTheLastLoss() {
    lose(process(1, 0), 1000);
    lose(process(1, 0), 2000);
    list(3500, process(1, 0));

    assertThat(isCold(3500)).isTrue();
  }

  @Test
  void shouldUseTheReportedTimeOnceTheListShowsTheRestart() {
    lose(process(1, 0), 1000);
    list(1500, process(2, 4000));

    assertThat(servers.at(at(1500)).get(ID).reason()).isEqualTo(ColdServer.Reason.REPORTED);
    assertThat(isCold(6700)).isFalse();
  }

  /** Guards against a store back from an older copy, which lists the process before the restart. */
  @Test
  void shouldStayColdIfAListShowsAnEarlierProcess() {
    list(0, process(2, 5000));
    list(1000, process(1, 0));

    assertThat(isCold(1000)).isTrue();
  }

  private void suspect(ServerEntry listed, long process, long lostMillis) {
    servers.restartSuspected(new SuspectedRestart(ID, process, at(lostMillis)), Map.of(ID, listed));
  }

  /** Guards against a host without connections that sends before a list shows the restart. */
  @Test
  void shouldTreatASuspectedRestartLikeAnOwnLoss() {
    suspect(process(1, 0), 1, 1000);
    list(3499, process(1, 0));
    assertThat(isCold(3499)).isTrue();

    list(3500, process(1, 0));
    assertThat(isCold(3500)).isFalse();
  }

  /** Guards against a notice that arrives again after the lists have shown what happened. */
  @Test
  void shouldIgnoreASuspectedRestartThatAListHasSettled() {
    list(3500, process(1, 0));
    suspect(process(1, 0), 1, 1000);
    suspect(process(2, 0), 1, 3000);

    assertThat(isCold(3500)).isFalse();
  }

  /** Guards against a process that no list shows, as in a notice of a host with a wrong entry. */
  @Test
  void shouldEndTheSuspicionOfAProcessThatIsNeverListed() {
    suspect(process(1, 0), 9, 1000);
    assertThat(isCold(1000)).isTrue();
    list(3500, process(1, 0));

    assertThat(isCold(3500)).isFalse();
  }
}

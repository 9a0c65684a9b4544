package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.control.ServerLoad;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.testing.FakeClock;

class ServerLoadSumsTest {
  private static final BackendServerId SERVER = BackendServerId.of("s1");
  private static final EntryHostId HOST = EntryHostId.of("a");
  private static final EntryHostId OTHER = EntryHostId.of("b");

  private final FakeClock clock = new FakeClock();
  private final ServerLoadSums sums = new ServerLoadSums();

  private void report(EntryHostId host, int outstanding, int answers, int failures) {
    ServerLoad load =
        new ServerLoad(SERVER, outstanding, answers, Duration.ofMillis(20L * answers), failures, 1);
    sums.add(host, List.of(load), clock.now());
  }

  private ServerLoad sum() {
    return sums.sum(clock.now()).of(SERVER);
  }

  /**
   * Guards against answers of earlier reports that are lost, and outstanding ones counted twice.
   */
  @Test
  void shouldAddAnswersOfAllReportsAndOutstandingOfTheNewest() {
    report(HOST, 3, 5, 1);
    clock.advance(Duration.ofMillis(250));
    report(HOST, 1, 4, 0);
    report(OTHER, 2, 1, 0);

    assertThat(sum()).isEqualTo(new ServerLoad(SERVER, 3, 10, Duration.ofMillis(200), 1, 2));
  }

  /** Guards against the load of hosts that are gone or use the server no more. */
  @Test
  void shouldForgetOldReports() {
    report(HOST, 3, 5, 1);
    clock.advance(ServerLoadSums.OUTSTANDING_VALIDITY.plusMillis(1));

    assertThat(sum().outstanding()).isZero();
    assertThat(sum().answers()).isEqualTo(5);

    clock.advance(ServerLoadSums.WINDOW);

    assertThat(sums.sum(clock.now()).loads()).isEmpty();
  }

  /** Guards against a late report that replaces a newer one, or counts as new. */
  @Test
  void shouldOrderReportsByTheEndOfTheirInterval() {
    clock.advance(Duration.ofSeconds(10));
    report(HOST, 1, 1, 0);
    ServerLoad late = new ServerLoad(SERVER, 9, 9, Duration.ofMillis(9), 9, 1);
    sums.add(HOST, List.of(late), clock.now().minus(Duration.ofSeconds(5)));

    assertThat(sum()).isEqualTo(new ServerLoad(SERVER, 1, 1, Duration.ofMillis(20), 0, 1));
  }

  /** Guards against numbers of hosts that wrap around to a negative load. */
  @Test
  void shouldLimitSums() {
    report(HOST, Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE);
    report(OTHER, Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE);

    assertThat(sum().answers()).isEqualTo(Integer.MAX_VALUE);
  }
}

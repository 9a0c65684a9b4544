package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.persimmonwalk.engine.control.SuspectedRestart;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.MonotonicTime;

class RestartNoticesTest {
  private static final BackendServerId SERVER = BackendServerId.of("s1");

  private final RestartNotices notices = new RestartNotices();

  private static MonotonicTime at(long millis) {
    return MonotonicTime.of(millis * 1_000_000);
  }

  private static SuspectedRestart loss(long process, long atMillis) {
    return new SuspectedRestart(SERVER, process, at(atMillis));
  }

  private boolean report(String host, long process, long lostMillis, long nowMillis) {
    return notices.report(EntryHostId.of(host), loss(process, lostMillis), at(nowMillis));
  }

  private boolean confirm(long process, long lostMillis, long nowMillis) {
    return notices.confirm(loss(process, lostMillis), at(nowMillis));
  }

  private boolean isSuspected(long nowMillis) {
    return notices.at(at(nowMillis)).containsKey(SERVER);
  }

  /** Guards against one host that affects the others, however often it reports. */
  @Test
  void shouldSuspectARestartOnlyIfASecondHostReportsIt() {
    assertThat(report("h1", 1, 1000, 1010)).isFalse();
    assertThat(report("h1", 1, 1500, 1510)).isFalse();
    assertThat(isSuspected(1510)).isFalse();

    assertThat(report("h2", 1, 1520, 1530)).isTrue();
    assertThat(isSuspected(1530)).isTrue();
  }

  /** Guards against single connections of two hosts that fail one after the other. */
  @Test
  void shouldNotCombineLossesThatAreMoreThanASecondApart() {
    report("h1", 1, 1000, 1010);
    assertThat(report("h2", 1, 2001, 2010)).isFalse();
    assertThat(report("h3", 1, 3000, 3010)).isTrue();
  }

  /** Guards against a message that arrives after the lists have shown what happened. */
  @Test
  void shouldDropLossesThatAreTooOld() {
    assertThat(confirm(1, 1000, 4500)).isFalse();
    assertThat(report("h1", 1, 2000, 4600)).isFalse();
    assertThat(report("h2", 1, 1100, 4600)).isFalse();
    assertThat(isSuspected(4600)).isFalse();
  }

  /** Guards against notices that pass between relays in a circle, each time a little later. */
  @Test
  void shouldStopForwardingALossThatComesBack() {
    confirm(1, 1000, 1000);
    boolean isSuspected = true;
    long now = 1000;
    for (long lost = 1000; isSuspected && now < 30_000; lost += 100) {
      now += 200;
      assertThat(confirm(1, lost, now)).isFalse();
      isSuspected = isSuspected(now);
    }

    assertThat(now).isLessThan(8500);
  }

  /** Guards against connections that keep failing and take a server from the zone. */
  @Test
  void shouldSuspectAProcessOnceAMinute() {
    confirm(1, 1000, 1000);
    assertThat(confirm(1, 10_000, 10_000)).isFalse();
    assertThat(isSuspected(10_000)).isFalse();
    assertThat(confirm(1, 61_001, 61_001)).isTrue();
  }

  /** Guards against a second restart that is not noticed, and an old notice that hides it. */
  @Test
  void shouldSuspectTheNextProcessToo() {
    confirm(1, 1000, 1000);
    assertThat(confirm(2, 7000, 7000)).isTrue();
    assertThat(confirm(1, 7100, 7100)).isFalse();

    assertThat(notices.at(at(7100))).containsValue(loss(2, 7000));
  }

  /** Guards against a later loss whose time is lost, so that an early list settles it. */
  @Test
  void shouldKeepTheLastLossOfARestart() {
    confirm(1, 1000, 1000);
    confirm(1, 1400, 1400);
    confirm(1, 1000, 1500);

    assertThat(notices.at(at(1500))).containsValue(loss(1, 1400));
  }
}

package org.persimmonwalk.internal.control.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.command.LoadConfiguration;
import org.persimmonwalk.command.ReadTableRow;
import org.persimmonwalk.command.SendPeerMessage;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.ObjectName;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.model.ConfigurationReply;
import org.persimmonwalk.model.ConfigurationRequest;
import org.persimmonwalk.model.ConfigurationRow;
import org.persimmonwalk.model.Heartbeat;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.observation.ConfigurationLoaded;
import org.persimmonwalk.observation.PeerMessageReceived;
import org.persimmonwalk.observation.TableRowRead;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.ConfigurationFleet;
import org.persimmonwalk.testing.Configurations;
import org.persimmonwalk.testing.FakeClock;
import org.persimmonwalk.testing.RecordingCommandExecutor;

class ConfigurationControllerTest {
  private static final EntryHostId PEER = EntryHostId.of("peer");

  private final FakeClock clock = new FakeClock();
  private final RecordingCommandExecutor executor = new RecordingCommandExecutor();
  private final ControlLoop loop =
      ControlLoop.of(
          List.of(ConfigurationController.create()), executor, clock, RandomSource.seeded(1));

  /** Guards against a delayed, stale read from the store that undoes a change. */
  @Test
  void shouldKeepRevisionFromPeerWhenStoreAnswersWithOlderOne() {
    MonotonicTime start = clock.now();
    clock.advance(Duration.ofSeconds(1));
    loop.post(new PeerMessageReceived(PEER, reply(5, Optional.of(Duration.ZERO), clock.now())));
    loop.runRound();

    loop.post(rowRead(4, start));
    loop.post(new ConfigurationLoaded(Configurations.of(4, 1, 1), clock.now()));
    loop.runRound();

    assertThat(revision()).isEqualTo(Revision.of(5));
    assertThat(executor.take(LoadConfiguration.class)).isEmpty();
  }

  /**
   * Guards against a read of another revision that counts as proof that the host's own revision is
   * the newest.
   */
  @Test
  void shouldNotUpdateFreshnessOnReadOfOtherRevision() {
    loop.post(new ConfigurationLoaded(Configurations.of(5, 1, 1), clock.now()));
    loop.runRound();
    MonotonicTime loadedAt = clock.now();
    clock.advance(Duration.ofSeconds(3));
    loop.post(rowRead(4, clock.now()));
    loop.post(rowRead(6, clock.now()));
    loop.runRound();
    assertThat(loop.snapshot().get(Entries.CONFIGURATION_CURRENT_AT)).contains(loadedAt);

    MonotonicTime readAt = clock.now();
    clock.advance(Duration.ofSeconds(1));
    loop.post(rowRead(5, readAt));
    loop.runRound();
    assertThat(loop.snapshot().get(Entries.CONFIGURATION_CURRENT_AT)).contains(readAt);
  }

  /** Guards against freshness that is counted from the arrival of a delayed message. */
  @Test
  void shouldCountFreshnessOfPeerFromRequestAndNotFromAnswer() {
    loop.post(new ConfigurationLoaded(Configurations.of(5, 1, 1), clock.now()));
    loop.runRound();
    clock.advance(Duration.ofMinutes(1));
    MonotonicTime sentAt = clock.now();
    clock.advance(Duration.ofMinutes(10));
    Optional<Duration> age = Optional.of(Duration.ofSeconds(2));

    loop.post(new PeerMessageReceived(PEER, heartbeat(5, age, Optional.empty())));
    loop.post(new PeerMessageReceived(PEER, heartbeat(4, age, Optional.of(clock.now()))));
    loop.post(new PeerMessageReceived(PEER, heartbeat(5, age, Optional.of(sentAt))));
    loop.runRound();

    assertThat(loop.snapshot().get(Entries.CONFIGURATION_CURRENT_AT))
        .contains(sentAt.minus(Duration.ofSeconds(2)));
  }

  /** Guards against many requests for one revision, and against no retry after a lost answer. */
  @Test
  void shouldRequestFromOnePeerAtATimeAndRetryAfterLostAnswer() {
    loop.post(new ConfigurationLoaded(Configurations.of(1, 1, 1), clock.now()));
    loop.post(new PeerMessageReceived(PEER, heartbeat(2, Optional.empty(), Optional.empty())));
    loop.post(new PeerMessageReceived(PEER, heartbeat(2, Optional.empty(), Optional.empty())));
    loop.runRound();
    assertThat(executor.take(SendPeerMessage.class))
        .containsExactly(
            new SendPeerMessage(PEER, new ConfigurationRequest(Revision.of(1), clock.now())));

    clock.advance(Duration.ofSeconds(1));
    loop.post(new PeerMessageReceived(PEER, heartbeat(2, Optional.empty(), Optional.empty())));
    loop.runRound();
    assertThat(executor.take(SendPeerMessage.class)).hasSize(1);
  }

  /** Guards against reads more often than once a second, and reads that pile up at a slow store. */
  @Test
  void shouldReadRowOnceASecondAndNotWhileAReadIsInFlight() {
    int answered = 0;
    for (int step = 0; step < 1000; step++) {
      loop.runRound();
      for (ReadTableRow read : executor.take(ReadTableRow.class)) {
        assertThat(read.row()).isEqualTo(ConfigurationRow.ROW);
        loop.post(rowRead(1, clock.now()));
        answered++;
      }
      clock.advance(Duration.ofMillis(100));
    }
    assertThat(answered).isBetween(90, 110);

    int unanswered = 0;
    for (int step = 0; step < 1000; step++) {
      loop.runRound();
      unanswered += executor.take(ReadTableRow.class).size();
      clock.advance(Duration.ofMillis(100));
    }
    assertThat(unanswered).isBetween(15, 21);
  }

  private Revision revision() {
    return loop.snapshot().get(Entries.CONFIGURATION).revision();
  }

  private static TableRowRead rowRead(long revision, MonotonicTime startedAt) {
    ConfigurationRow row =
        ConfigurationRow.of(
            Revision.of(revision), ReleaseNoteId.of("note"), ObjectName.of("object"));
    return new TableRowRead(
        ConfigurationRow.ROW, RowVersion.of(revision), Optional.of(row), startedAt);
  }

  private static ConfigurationReply reply(
      long revision, Optional<Duration> age, MonotonicTime echoedSentAt) {
    return new ConfigurationReply(Configurations.of(revision, 1, 1), age, echoedSentAt);
  }

  private static Heartbeat heartbeat(
      long revision, Optional<Duration> age, Optional<MonotonicTime> echoedSentAt) {
    return new Heartbeat(
        ConfigurationFleet.entry("peer", "zone-a"),
        Revision.of(revision),
        age,
        MonotonicTime.of(77),
        echoedSentAt,
        List.of(),
        Map.of());
  }
}

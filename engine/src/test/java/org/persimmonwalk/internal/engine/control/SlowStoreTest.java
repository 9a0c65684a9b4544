package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RelayClaim;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.RunTransaction;
import org.persimmonwalk.engine.control.SendZoneRequest;
import org.persimmonwalk.engine.control.ServerLoadReport;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoreTime;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;
import org.persimmonwalk.engine.control.TransactionTag;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.engine.control.ZoneRequest;
import org.persimmonwalk.engine.control.ZoneRequestEnded;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FakeClock;
import org.persimmonwalk.testing.RecordingCommandExecutor;

/** Plays one host behind a relay whose calls to the store take 650 ms. */
class SlowStoreTest {
  private static final EngineSettings SETTINGS =
      EngineSettingsFixture.of(0, 1, EngineSettingsFixture.USUAL_BOUNDS);
  private static final RelayHost RELAY =
      new RelayHost(EntryHostId.of("relay"), SocketEndpoint.of("10.1.0.9", 1));
  private static final StoreVersion VERSION = StoreVersion.of(StoreEra.UNKNOWN, 1);
  private static final Duration STEP = Duration.ofMillis(50);
  private static final int STEPS_BETWEEN_REPLIES = 5;
  private static final long CALL_MILLIS = 650;
  private static final long INTERVAL_MILLIS = 1000;

  private final FakeClock clock = new FakeClock();
  private final RecordingCommandExecutor executor = new RecordingCommandExecutor();
  private final List<String> events = new ArrayList<>();
  private final ControlLoop loop =
      ControlLoop.of(
          List.of(
              RelayController.create(SETTINGS, (event, fields) -> events.add(event)),
              VerificationController.create(SETTINGS, (event, fields) -> events.add(event))),
          executor,
          clock,
          RandomSource.seeded(1));
  private long millis;

  /** Tells the host its relay and the configuration. */
  @BeforeEach
  void readTheRows() {
    RowKey row = RelayController.row(SETTINGS.zone());
    RunTransaction transaction =
        new RunTransaction(TransactionTag.of("verify", 1), Map.of(), Map.of());
    loop.post(
        new TransactionAnswered(
            transaction,
            TransactionResult.CONFLICT,
            Map.of(row, StoredRow.of(VERSION, new RelayClaim(RELAY, Optional.empty()).text())),
            Optional.of(EngineFixture.configuration(1, 100, Map.of())),
            StoreEra.UNKNOWN,
            Optional.of(new StoreTime(1000, clock.now(), clock.now()))));
    loop.runRound();
  }

  /** Lets the relay reply every 250 ms; it starts no call to the store after the given time. */
  private void run(Duration duration, long lastCallMillis) {
    for (long step = 0; step < duration.toMillis() / STEP.toMillis(); step++) {
      clock.advance(STEP);
      millis += STEP.toMillis();
      if (step % STEPS_BETWEEN_REPLIES == 0) {
        long newest = Math.max(0, (millis - CALL_MILLIS) / INTERVAL_MILLIS * INTERVAL_MILLIS);
        reply(Duration.ofMillis(millis - Math.min(newest, lastCallMillis)));
      }
      loop.runRound();
    }
  }

  private void reply(Duration verifiedAge) {
    ZoneRequest request =
        new ZoneRequest(
            SETTINGS.host(),
            StoreEra.UNKNOWN,
            Map.of(),
            0,
            false,
            List.of(),
            ServerLoadReport.NONE,
            List.of());
    ZoneReply reply =
        new ZoneReply(
            true,
            StoreEra.UNKNOWN,
            Optional.of(verifiedAge),
            Optional.of(verifiedAge),
            VERSION,
            Optional.empty(),
            Map.of(),
            Optional.empty(),
            Optional.empty(),
            List.of(),
            1,
            ServerLoadReport.NONE,
            List.of());
    loop.post(
        new ZoneRequestEnded(
            new SendZoneRequest(RELAY, request), Optional.of(reply), clock.now(), clock.now()));
  }

  /**
   * Guards against all hosts of a zone calling a slow store, and claiming the role of their relay,
   * because the relay's verification is old for a part of each second.
   */
  @Test
  void shouldNotCallTheStoreBehindARelayThatGoesOnVerifying() {
    run(Duration.ofSeconds(3), Long.MAX_VALUE);
    executor.take(RunTransaction.class);
    run(Duration.ofSeconds(20), Long.MAX_VALUE);

    assertThat(executor.take(RunTransaction.class)).isEmpty();
    assertThat(events).doesNotContain("relay-lost");
  }

  /** Guards against waiting for a relay that has lost the store as for a slow one. */
  @Test
  void shouldCallTheStoreSoonAfterTheRelayStandsStill() {
    run(Duration.ofSeconds(3), Long.MAX_VALUE);
    executor.take(RunTransaction.class);
    run(Duration.ofSeconds(3), 2000);

    assertThat(executor.take(RunTransaction.class)).isNotEmpty();
    assertThat(events).contains("relay-lost");
  }
}

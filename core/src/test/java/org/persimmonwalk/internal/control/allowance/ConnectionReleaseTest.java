package org.persimmonwalk.internal.control.allowance;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.command.CompareAndSetTableRow;
import org.persimmonwalk.command.SendPeerMessage;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.TransferId;
import org.persimmonwalk.internal.control.lease.LeaseSettings;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.ShareRequest;
import org.persimmonwalk.model.ShareTransfer;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.observation.ConnectionsCounted;
import org.persimmonwalk.observation.PeerMessageReceived;
import org.persimmonwalk.observation.TableRowRead;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FakeClock;
import org.persimmonwalk.testing.RecordingCommandExecutor;

/** Guards against giving connections to a peer before this host has closed its own. */
class ConnectionReleaseTest {
  private static final EntryHostId SELF = EntryHostId.of("self");
  private static final EntryHostId PEER = EntryHostId.of("peer");
  private static final TableRow ROW =
      TableRow.of(AllowanceController.TABLE, AllowanceControllerTest.SERVER.value());

  private final FakeClock clock = new FakeClock();
  private final RecordingCommandExecutor executor = new RecordingCommandExecutor();
  private final ControlLoop loop =
      ControlLoop.of(
          List.of(
              (blackboard, context) -> {
                blackboard.put(Entries.CONFIGURATION, AllowanceControllerTest.configuration(1, 20));
                blackboard.put(Entries.LIVE_HOSTS, Set.of(SELF));
              },
              AllowanceController.of(SELF, LeaseSettings.CONNECTIONS)),
          executor,
          clock,
          RandomSource.seeded(1));

  @Test
  void shouldSendConnectionsOnlyAfterCountUnderLoweredAllowance() {
    obtainGrant();
    MonotonicTime before = loop.snapshot().roundStartedAt();
    ShareRequest request = new ShareRequest(TransferId.of("peer:1"), ROW, 0, 10, 0);
    round(Command.class, counted(20, before));
    round(Command.class, new PeerMessageReceived(PEER, request));
    assertThat(allowance()).isEqualTo(14);

    assertThat(round(SendPeerMessage.class, counted(10, before))).isEmpty();
    MonotonicTime after = loop.snapshot().roundStartedAt();
    assertThat(round(SendPeerMessage.class, counted(15, after))).isEmpty();
    List<SendPeerMessage> sent = round(SendPeerMessage.class, counted(14, after));
    assertThat(sent).hasSize(1);
    assertThat(((ShareTransfer) sent.get(0).message()).amount()).isEqualTo(6);
  }

  /** Guards against giving away units whose connections long-running statements still use. */
  @Test
  void shouldKeepConnectionsThatAreNotClosedInTime() {
    obtainGrant();
    round(Command.class, counted(20, loop.snapshot().roundStartedAt()));
    ShareRequest request = new ShareRequest(TransferId.of("peer:1"), ROW, 0, 10, 0);
    round(Command.class, new PeerMessageReceived(PEER, request));
    clock.advance(Duration.ofSeconds(5));
    List<SendPeerMessage> sent =
        round(SendPeerMessage.class, counted(20, loop.snapshot().roundStartedAt()));

    assertThat(((ShareTransfer) sent.get(0).message()).amount()).isZero();
    assertThat(allowance()).isEqualTo(20);
  }

  private void obtainGrant() {
    loop.runRound();
    TableRowRead absent = new TableRowRead(ROW, RowVersion.ABSENT, Optional.empty(), clock.now());
    CompareAndSetTableRow write = round(CompareAndSetTableRow.class, absent).get(0);
    round(
        Command.class,
        new TableRowRead(ROW, RowVersion.of(1), Optional.of(write.value()), clock.now()));
    assertThat(allowance()).isEqualTo(20);
  }

  private ConnectionsCounted counted(int open, MonotonicTime appliedSnapshotAt) {
    return new ConnectionsCounted(AllowanceControllerTest.SERVER, open, 20, appliedSnapshotAt);
  }

  private int allowance() {
    return loop.snapshot().get(Entries.CONNECTION_ALLOWANCES).get(AllowanceControllerTest.SERVER);
  }

  private <T extends Command> List<T> round(Class<T> type, Observation... observations) {
    clock.advance(Duration.ofMillis(10));
    List.of(observations).forEach(loop::post);
    loop.runRound();
    return executor.take(type);
  }
}

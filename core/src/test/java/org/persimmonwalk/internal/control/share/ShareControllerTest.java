package org.persimmonwalk.internal.control.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.command.CompareAndSetTableRow;
import org.persimmonwalk.command.ReadTableRow;
import org.persimmonwalk.command.SendPeerMessage;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.GrantId;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.TransferId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.control.lease.LeaseSettings;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.Grant;
import org.persimmonwalk.model.GrantTable;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.ShareLease;
import org.persimmonwalk.model.ShareRequest;
import org.persimmonwalk.model.ShareTransfer;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.model.WriteOutcome;
import org.persimmonwalk.observation.DemandMeasured;
import org.persimmonwalk.observation.PeerMessageReceived;
import org.persimmonwalk.observation.TableRowRead;
import org.persimmonwalk.observation.TableRowWritten;
import org.persimmonwalk.observation.TokenOrderDone;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FakeClock;
import org.persimmonwalk.testing.RecordingCommandExecutor;

/** One host whose store and peers are played by the test; the lease lasts 100 s. */
class ShareControllerTest {
  private static final WorkspaceId OIL = WorkspaceId.of("oil");
  private static final EntryHostId SELF = EntryHostId.of("self");
  private static final EntryHostId PEER = EntryHostId.of("peer");
  private static final TableRow ROW = TableRow.of(ShareController.TABLE, "oil");
  private static final Duration LEASE = Duration.ofSeconds(100);

  private final FakeClock clock = new FakeClock();
  private final RecordingCommandExecutor executor = new RecordingCommandExecutor();
  private Set<EntryHostId> live = Set.of(SELF, PEER);
  private final ControlLoop loop =
      ControlLoop.of(
          List.of(
              (blackboard, context) -> {
                blackboard.put(Entries.CONFIGURATION, configuration());
                blackboard.put(Entries.LIVE_HOSTS, live);
              },
              ShareController.of(SELF, new LeaseSettings(LEASE, Duration.ofSeconds(1)))),
          executor,
          clock,
          RandomSource.seeded(1));
  private CompareAndSetTableRow write;

  @BeforeEach
  void askForGrant() {
    loop.runRound();
    assertThat(executor.take(ReadTableRow.class)).containsExactly(new ReadTableRow(ROW));
    write = round(CompareAndSetTableRow.class, read(0, Optional.empty())).get(0);
  }

  /** The answer is lost, but the write took effect: the lease counts from before it was sent. */
  @Test
  void shouldFindWrittenGrantAfterLostAnswer() {
    clock.advance(Duration.ofSeconds(3));
    round(Command.class, written(WriteOutcome.UNKNOWN, 0));
    assertThat(lease().rate()).isZero();
    round(Command.class, read(1, Optional.of((GrantTable) write.value())));

    assertThat(lease().rate()).isEqualTo(50);
    assertThat(lease().end()).isEqualTo(clock.now().plus(Duration.ofSeconds(87)));
  }

  /** An answer that says written may be about an earlier write. */
  @Test
  void shouldNotUseGrantThatRowDoesNotShow() {
    round(Command.class, written(WriteOutcome.WRITTEN, 1));
    assertThat(lease().rate()).isZero();
    round(Command.class, read(2, Optional.of(GrantTable.of(1_000_000, Map.of()))));
    assertThat(lease().rate()).isZero();
  }

  /** The peer may have renewed until the read was answered, not only until it started. */
  @Test
  void shouldCountLeaseOfPeerFromAnswerOfRead() {
    Grant grant = Grant.of(GrantId.of("peer:1"), 1_000_000, LEASE);
    Optional<GrantTable> full = Optional.of(GrantTable.of(1_000_000, Map.of(PEER, grant)));
    TableRowRead started = read(1, full);
    clock.advance(Duration.ofSeconds(9));
    assertThat(round(CompareAndSetTableRow.class, started)).isEmpty();

    clock.advance(Duration.ofSeconds(109));
    assertThat(round(CompareAndSetTableRow.class, read(1, full))).isEmpty();
    clock.advance(Duration.ofSeconds(1));
    assertThat(round(CompareAndSetTableRow.class, read(1, full))).hasSize(1);
  }

  /** A peer that renewed is alive, although the host has seen it in the row for long. */
  @Test
  void shouldNotTakeRenewedGrant() {
    for (int renewal = 1; renewal < 5; renewal++) {
      Grant grant = Grant.of(GrantId.of("peer:" + renewal), 1_000_000, LEASE);
      GrantTable full = GrantTable.of(1_000_000, Map.of(PEER, grant));
      assertThat(round(CompareAndSetTableRow.class, read(renewal, Optional.of(full)))).isEmpty();
      clock.advance(Duration.ofSeconds(60));
    }
  }

  /** A transfer that waited in a connection for a minute must not extend the lease. */
  @Test
  void shouldCountTransferFromBeforeRequest() {
    ShareRequest request = requestUnits();
    clock.advance(Duration.ofSeconds(60));
    round(Command.class, transfer(request.id(), 200_000, Duration.ofSeconds(70)));
    assertThat(lease().rate()).isEqualTo(20);
    assertThat(lease().end()).isEqualTo(clock.now().plus(Duration.ofSeconds(10)));
  }

  @Test
  void shouldApplyTransferOnceAndOnlyIfAskedFor() {
    ShareRequest request = requestUnits();
    PeerMessageReceived transfer = transfer(request.id(), 200_000, Duration.ofSeconds(70));
    round(Command.class, transfer, transfer);
    round(Command.class, transfer);
    round(Command.class, transfer(TransferId.of("other"), 200_000, Duration.ofSeconds(70)));
    assertThat(lease().rate()).isEqualTo(20);
  }

  /** The answer to a request was lost: the same units are sent again, not others. */
  @Test
  void shouldAnswerRepeatedRequestWithSameTransfer() {
    obtain();
    TransferId id = TransferId.of("peer:t1");
    PeerMessageReceived request =
        new PeerMessageReceived(PEER, new ShareRequest(id, ROW, 0, 50, 1));
    assertThat(round(SendPeerMessage.class, request)).isEmpty();
    double lowered = lease().rate();
    assertThat(lowered).isBetween(1.0, 25.0);
    long order = lease().order().number();
    List<SendPeerMessage> first = round(SendPeerMessage.class, new TokenOrderDone(OIL, order, 0.5));
    assertThat(first).hasSize(1);

    assertThat(round(SendPeerMessage.class, request)).isEqualTo(first);
    assertThat(lease().rate()).isEqualTo(lowered);
  }

  /** Lent units still run at the peer after the grant from which they came was renewed. */
  @Test
  void shouldCountLentUnitsAgainstRenewedGrant() {
    obtain();
    TransferId id = TransferId.of("peer:t1");
    round(Command.class, new PeerMessageReceived(PEER, new ShareRequest(id, ROW, 0, 50, 1)));
    double lowered = lease().rate();
    clock.advance(Duration.ofSeconds(50));
    round(Command.class, new TokenOrderDone(OIL, lease().order().number(), 0));
    GrantTable table = (GrantTable) write.value();
    write = round(CompareAndSetTableRow.class, read(1, Optional.of(table))).get(0);
    round(Command.class, read(2, Optional.of((GrantTable) write.value())));

    assertThat(lease().end()).isEqualTo(clock.now().plus(Duration.ofSeconds(90)));
    assertThat(lease().rate()).isEqualTo(lowered);
    clock.advance(Duration.ofSeconds(42));
    loop.runRound();
    assertThat(lease().rate()).isEqualTo(50);
  }

  /** Tokens under way need room at the receiver, or the fleet would hold more than the burst. */
  @Test
  void shouldReserveRoomForTokensItAsksFor() {
    obtain();
    List<SendPeerMessage> sent =
        round(SendPeerMessage.class, new DemandMeasured(OIL, 40, 0, clock.now()));
    ShareRequest request = (ShareRequest) sent.get(0).message();
    assertThat(request.tokens()).isGreaterThan(1);
    assertThat(lease().burst()).isEqualTo(20 - request.tokens());

    clock.advance(Duration.ofMillis(300));
    loop.runRound();
    assertThat(lease().burst()).isEqualTo(20);
    ShareTransfer late = new ShareTransfer(request.id(), ROW, 0, 1, Duration.ZERO);
    round(Command.class, new PeerMessageReceived(PEER, late));
    assertThat(lease().order().number()).isZero();
  }

  /** The answer may be lost after the peer lowered its share. */
  @Test
  void shouldRepeatUnansweredRequest() {
    ShareRequest request = requestUnits();
    clock.advance(Duration.ofSeconds(1));
    assertThat(round(SendPeerMessage.class)).containsExactly(new SendPeerMessage(PEER, request));
  }

  /** A lower grant may take effect at any time after it was sent, whatever the answer says. */
  @Test
  void shouldUseNoMoreThanLowerGrantUnderWay() {
    obtain();
    live = Set.of(SELF, PEER, EntryHostId.of("third"), EntryHostId.of("fourth"));
    clock.advance(Duration.ofSeconds(40));
    GrantTable table = (GrantTable) write.value();
    assertThat(round(CompareAndSetTableRow.class, read(1, Optional.of(table)))).hasSize(1);
    assertThat(lease().rate()).isEqualTo(25);

    round(Command.class, written(WriteOutcome.UNKNOWN, 0));
    assertThat(lease().rate()).isEqualTo(25);
  }

  private void obtain() {
    round(Command.class, written(WriteOutcome.WRITTEN, 1));
    round(Command.class, read(1, Optional.of((GrantTable) write.value())));
    assertThat(lease().rate()).isEqualTo(50);
  }

  private ShareRequest requestUnits() {
    List<SendPeerMessage> sent =
        round(SendPeerMessage.class, new DemandMeasured(OIL, 90, 0, clock.now()));
    return (ShareRequest) sent.get(sent.size() - 1).message();
  }

  private PeerMessageReceived transfer(TransferId id, long amount, Duration remaining) {
    return new PeerMessageReceived(PEER, new ShareTransfer(id, ROW, amount, 0, remaining));
  }

  private TableRowRead read(long version, Optional<GrantTable> table) {
    return new TableRowRead(ROW, RowVersion.of(version), table.map(t -> t), clock.now());
  }

  private TableRowWritten written(WriteOutcome outcome, long version) {
    return new TableRowWritten(ROW, outcome, RowVersion.of(version), clock.now());
  }

  private <T extends Command> List<T> round(Class<T> type, Observation... observations) {
    List.of(observations).forEach(loop::post);
    loop.runRound();
    return executor.take(type);
  }

  private ShareLease lease() {
    return loop.snapshot().get(Entries.SHARES).get(OIL);
  }

  private static Configuration configuration() {
    return new Configuration(
        Revision.of(1),
        ReleaseNoteId.of("first"),
        Map.of(OIL, Workspace.of(OIL, 100, 40, Set.of())),
        Map.of(),
        Map.of());
  }
}

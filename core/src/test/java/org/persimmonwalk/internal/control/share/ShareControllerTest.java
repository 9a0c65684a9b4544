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
import org.persimmonwalk.model.GrantRow;
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
import org.persimmonwalk.observation.TokenOrderCompleted;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FakeClock;
import org.persimmonwalk.testing.RecordingCommandExecutor;

/** Tests one host; the test acts as the store and the peers. A lease lasts 100 s. */
class ShareControllerTest {
  private static final WorkspaceId WORKSPACE = WorkspaceId.of("oil");
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
  void requestGrant() {
    loop.runRound();
    assertThat(executor.take(ReadTableRow.class)).containsExactly(new ReadTableRow(ROW));
    write = round(CompareAndSetTableRow.class, read(0, Optional.empty())).get(0);
  }

  /**
   * Guards against a grant that is lost or lasts too long when the write took effect but its answer
   * was lost: the lease counts from before the write was sent.
   */
  @Test
  void shouldUseWrittenGrantAfterLostAnswer() {
    clock.advance(Duration.ofSeconds(3));
    round(Command.class, written(WriteOutcome.UNKNOWN, 0));
    assertThat(lease().rate()).isZero();
    round(Command.class, read(1, Optional.of((GrantRow) write.value())));

    assertThat(lease().rate()).isEqualTo(50);
    assertThat(lease().end()).isEqualTo(clock.now().plus(Duration.ofSeconds(87)));
  }

  /** Guards against use of a grant after an answer that belongs to an earlier write. */
  @Test
  void shouldNotUseGrantMissingFromRow() {
    round(Command.class, written(WriteOutcome.WRITTEN, 1));
    assertThat(lease().rate()).isZero();
    round(Command.class, read(2, Optional.of(GrantRow.of(1_000_000, Map.of()))));
    assertThat(lease().rate()).isZero();
  }

  /**
   * Guards against taking a peer's units too early: the peer may have renewed its grant until the
   * read was answered, not only until it started.
   */
  @Test
  void shouldCountLeaseOfPeerFromAnswerOfRead() {
    Grant grant = Grant.of(GrantId.of("peer:1"), 1_000_000, LEASE);
    Optional<GrantRow> full = Optional.of(GrantRow.of(1_000_000, Map.of(PEER, grant)));
    TableRowRead started = read(1, full);
    clock.advance(Duration.ofSeconds(9));
    assertThat(round(CompareAndSetTableRow.class, started)).isEmpty();

    clock.advance(Duration.ofSeconds(109));
    assertThat(round(CompareAndSetTableRow.class, read(1, full))).isEmpty();
    clock.advance(Duration.ofSeconds(1));
    assertThat(round(CompareAndSetTableRow.class, read(1, full))).hasSize(1);
  }

  /** Guards against taking the units of a peer whose grant is old but was renewed in time. */
  @Test
  void shouldNotTakeRenewedGrant() {
    for (int renewal = 1; renewal < 5; renewal++) {
      Grant grant = Grant.of(GrantId.of("peer:" + renewal), 1_000_000, LEASE);
      GrantRow full = GrantRow.of(1_000_000, Map.of(PEER, grant));
      assertThat(round(CompareAndSetTableRow.class, read(renewal, Optional.of(full)))).isEmpty();
      clock.advance(Duration.ofSeconds(60));
    }
  }

  /** Guards against a lease that is extended by a transfer delayed in a connection for a minute. */
  @Test
  void shouldCountTransferFromTimeOfRequest() {
    ShareRequest request = requestUnits();
    clock.advance(Duration.ofSeconds(60));
    round(Command.class, transfer(request.id(), 200_000, Duration.ofSeconds(70)));
    assertThat(lease().rate()).isEqualTo(20);
    assertThat(lease().end()).isEqualTo(clock.now().plus(Duration.ofSeconds(10)));
  }

  /** Guards against units that are counted twice, or taken from a transfer nobody requested. */
  @Test
  void shouldApplyTransferOnceAndOnlyIfRequested() {
    ShareRequest request = requestUnits();
    PeerMessageReceived transfer = transfer(request.id(), 200_000, Duration.ofSeconds(70));
    round(Command.class, transfer, transfer);
    round(Command.class, transfer);
    round(Command.class, transfer(TransferId.of("other"), 200_000, Duration.ofSeconds(70)));
    assertThat(lease().rate()).isEqualTo(20);
  }

  /** Guards against giving units away twice when a request is repeated after a lost answer. */
  @Test
  void shouldAnswerRepeatedRequestWithSameTransfer() {
    obtainGrant();
    TransferId id = TransferId.of("peer:t1");
    PeerMessageReceived request =
        new PeerMessageReceived(PEER, new ShareRequest(id, ROW, 0, 50, 1));
    assertThat(round(SendPeerMessage.class, request)).isEmpty();
    double lowered = lease().rate();
    assertThat(lowered).isBetween(1.0, 25.0);
    long order = lease().order().number();
    List<SendPeerMessage> first =
        round(SendPeerMessage.class, new TokenOrderCompleted(WORKSPACE, order, 0.5));
    assertThat(first).hasSize(1);

    assertThat(round(SendPeerMessage.class, request)).isEqualTo(first);
    assertThat(lease().rate()).isEqualTo(lowered);
  }

  /** Guards against using lent units twice after a renewal: the peer still holds their lease. */
  @Test
  void shouldCountLentUnitsAgainstRenewedGrant() {
    obtainGrant();
    TransferId id = TransferId.of("peer:t1");
    round(Command.class, new PeerMessageReceived(PEER, new ShareRequest(id, ROW, 0, 50, 1)));
    double lowered = lease().rate();
    clock.advance(Duration.ofSeconds(50));
    round(Command.class, new TokenOrderCompleted(WORKSPACE, lease().order().number(), 0));
    GrantRow grantRow = (GrantRow) write.value();
    write = round(CompareAndSetTableRow.class, read(1, Optional.of(grantRow))).get(0);
    round(Command.class, read(2, Optional.of((GrantRow) write.value())));

    assertThat(lease().end()).isEqualTo(clock.now().plus(Duration.ofSeconds(90)));
    assertThat(lease().rate()).isEqualTo(lowered);
    clock.advance(Duration.ofSeconds(42));
    loop.runRound();
    assertThat(lease().rate()).isEqualTo(50);
  }

  /**
   * Guards against more tokens than the burst over all hosts: tokens in flight need reserved room
   * at the receiver.
   */
  @Test
  void shouldReserveRoomForRequestedTokens() {
    obtainGrant();
    List<SendPeerMessage> sent =
        round(SendPeerMessage.class, new DemandMeasured(WORKSPACE, 40, 0, clock.now()));
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

  /**
   * Guards against units that no host holds, after a peer lowered its share and its answer was
   * lost.
   */
  @Test
  void shouldRepeatUnansweredRequest() {
    ShareRequest request = requestUnits();
    clock.advance(Duration.ofSeconds(1));
    assertThat(round(SendPeerMessage.class)).containsExactly(new SendPeerMessage(PEER, request));
  }

  /**
   * Guards against using more than a lower grant that may take effect at any time after it was
   * sent, whatever the answer says.
   */
  @Test
  void shouldUseNoMoreThanLowerGrantInFlight() {
    obtainGrant();
    live = Set.of(SELF, PEER, EntryHostId.of("third"), EntryHostId.of("fourth"));
    clock.advance(Duration.ofSeconds(40));
    GrantRow grantRow = (GrantRow) write.value();
    assertThat(round(CompareAndSetTableRow.class, read(1, Optional.of(grantRow)))).hasSize(1);
    assertThat(lease().rate()).isEqualTo(25);

    round(Command.class, written(WriteOutcome.UNKNOWN, 0));
    assertThat(lease().rate()).isEqualTo(25);
  }

  private void obtainGrant() {
    round(Command.class, written(WriteOutcome.WRITTEN, 1));
    round(Command.class, read(1, Optional.of((GrantRow) write.value())));
    assertThat(lease().rate()).isEqualTo(50);
  }

  private ShareRequest requestUnits() {
    List<SendPeerMessage> sent =
        round(SendPeerMessage.class, new DemandMeasured(WORKSPACE, 90, 0, clock.now()));
    return (ShareRequest) sent.get(sent.size() - 1).message();
  }

  private PeerMessageReceived transfer(TransferId id, long amount, Duration remaining) {
    return new PeerMessageReceived(PEER, new ShareTransfer(id, ROW, amount, 0, remaining));
  }

  private TableRowRead read(long version, Optional<GrantRow> grantRow) {
    return new TableRowRead(ROW, RowVersion.of(version), grantRow.map(t -> t), clock.now());
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
    return loop.snapshot().get(Entries.SHARES).get(WORKSPACE);
  }

  private static Configuration configuration() {
    return new Configuration(
        Revision.of(1),
        ReleaseNoteId.of("first"),
        Map.of(WORKSPACE, Workspace.of(WORKSPACE, 100, 40, Set.of())),
        Map.of(),
        Map.of());
  }
}

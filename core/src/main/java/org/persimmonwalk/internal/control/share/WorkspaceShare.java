package org.persimmonwalk.internal.control.share;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalDouble;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.control.lease.FairSplit;
import org.persimmonwalk.internal.control.lease.Fleet;
import org.persimmonwalk.internal.control.lease.LeaseSettings;
import org.persimmonwalk.internal.control.lease.LeasedResource;
import org.persimmonwalk.internal.control.lease.RowAllocation;
import org.persimmonwalk.internal.control.lease.RowObservations;
import org.persimmonwalk.model.GrantRow;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ShareLease;
import org.persimmonwalk.model.ShareRequest;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.model.TokenOrder;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.observation.DemandMeasured;
import org.persimmonwalk.observation.TokenOrderCompleted;

/** This host's part of one workspace; a unit is a millionth of the workspace's rate and burst. */
final class WorkspaceShare implements LeasedResource {
  /** Arrivals vary, so a host needs more than its mean demand to refuse almost no statements. */
  private static final double HEADROOM = 1.1;

  /** The fraction of an equal share of the rate that is added to the demand of each host. */
  private static final double BASE_DEMAND_FRACTION = 0.1;

  /** The burst, in statements, that a host keeps without demand, to admit a new caller at once. */
  private static final double IDLE_BURST = 2;

  /** Transfers of less than 1/20 of an equal share are not worth a message. */
  private static final int MIN_TRANSFER_DIVISOR = 20;

  /**
   * Requests leave room for the tokens that the host's own rate adds in this time. Without it, a
   * fifth of the rate was lost when all hosts were short of tokens.
   */
  private static final double REFILL_SECONDS = 0.1;

  private static final Duration MAX_MEASUREMENT_AGE = Duration.ofSeconds(1);

  private final TableRow row;
  private final RowAllocation allocation;
  private final TokenOrderQueue tokenOrders;
  private Workspace workspace;
  private Fleet fleet;
  private Map<EntryHostId, Map<WorkspaceId, Double>> peerDemands = Map.of();
  private double demand;
  private double tokens;
  private MonotonicTime measuredAt;

  private WorkspaceShare(WorkspaceId id, LeaseSettings settings, MonotonicTime now) {
    this.row = TableRow.of(ShareController.TABLE, id.value());
    this.allocation = RowAllocation.of(row, settings, now);
    this.tokenOrders = TokenOrderQueue.create();
    this.measuredAt = now;
  }

  static WorkspaceShare of(WorkspaceId id, LeaseSettings settings, MonotonicTime now) {
    return new WorkspaceShare(id, settings, now);
  }

  void configure(Workspace configured) {
    workspace = configured;
  }

  void demandMeasured(DemandMeasured measured) {
    demand = measured.demand();
    tokens = measured.tokens();
    measuredAt = measured.measuredAt();
  }

  void orderCompleted(TokenOrderCompleted completed) {
    tokenOrders.completed(completed.number(), completed.withdrawn());
  }

  double measuredDemand() {
    return demand;
  }

  /** Runs the allocation and returns the lease to publish. */
  ShareLease run(
      Blackboard blackboard,
      RoundContext context,
      Fleet newFleet,
      RowObservations rowObservations,
      Map<EntryHostId, Map<WorkspaceId, Double>> newPeerDemands) {
    fleet = newFleet;
    peerDemands = newPeerDemands;
    allocation.run(blackboard, context, fleet, this, rowObservations.forRow(row));
    MonotonicTime now = context.now();
    double fraction = (double) allocation.available(now) / total();
    TokenOrder order = tokenOrders.order();
    double reserved = allocation.reservedTokens(now) + tokenOrders.pendingDeposit();
    double burst = Math.max(0, fraction * workspace.burst() - reserved);
    return ShareLease.of(fraction * workspace.rate(), burst, allocation.end(now), order);
  }

  @Override
  public long total() {
    return GrantRow.SHARE_TOTAL;
  }

  @Override
  public double demand() {
    return demand + BASE_DEMAND_FRACTION * workspace.rate() / hostCount();
  }

  @Override
  public boolean needsUnits(long held) {
    return demand > 0 && (rate(held) < HEADROOM * demand || tokensFor(held) < 1);
  }

  /**
   * Requests the full amount from each peer, since most have none to spare, but leaves room for the
   * tokens that the host's own rate adds before the answers arrive.
   */
  @Override
  public double tokensToRequest(long held, int peers, MonotonicTime now) {
    boolean recent = now.since(measuredAt).compareTo(MAX_MEASUREMENT_AGE) < 0;
    if (demand <= 0 || !recent || !isLowOnTokens(held)) {
      return 0;
    }
    double burst = tokensFor(held);
    double wanted = Math.max(1, burst / 2) - tokens;
    double room = burst - tokens - Math.min(1, REFILL_SECONDS * rate(held));
    return Math.max(0, Math.min(wanted, room / peers));
  }

  @Override
  public long unitsToGive(long held, ShareRequest request) {
    double equalPart = (double) total() / hostCount();
    double oneStatement = total() / workspace.burst();
    double kept = Math.min(equalPart / 2, IDLE_BURST * oneStatement);
    if (demand > 0) {
      kept = Math.max(kept, oneStatement);
    }
    long fair = FairSplit.unitsToGive(held, demand(), request.held(), request.demand());
    long units = Math.min(fair, held - (long) Math.ceil(kept));
    return units < equalPart / MIN_TRANSFER_DIVISOR ? 0 : units;
  }

  @Override
  public void startRelease(long units, double requestedTokens) {
    tokenOrders.withdraw(requestedTokens + tokensFor(units));
  }

  @Override
  public OptionalDouble releasedTokens(long held) {
    return tokenOrders.takeWithdrawn();
  }

  @Override
  public double tokensFor(long units) {
    return units * workspace.burst() / total();
  }

  @Override
  public void deposit(double added) {
    tokenOrders.deposit(added);
    tokens += added;
  }

  /**
   * Returns 0, since a lowered lease takes effect before the commands of the round are executed.
   */
  @Override
  public long inUse() {
    return 0;
  }

  @Override
  public double peerDemand(EntryHostId peer) {
    return peerDemands.getOrDefault(peer, Map.of()).getOrDefault(workspace.id(), 0.0);
  }

  private boolean isLowOnTokens(long held) {
    return tokens < Math.max(1, tokensFor(held) / 4);
  }

  private double rate(long units) {
    return units * workspace.rate() / total();
  }

  private int hostCount() {
    return Math.max(1, fleet.live().size());
  }
}

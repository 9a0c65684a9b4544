package org.persimmonwalk.internal.control.allowance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.OptionalDouble;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.internal.control.lease.FairSplit;
import org.persimmonwalk.internal.control.lease.Fleet;
import org.persimmonwalk.internal.control.lease.LeaseSettings;
import org.persimmonwalk.internal.control.lease.LeasedResource;
import org.persimmonwalk.internal.control.lease.RowAllocation;
import org.persimmonwalk.internal.control.lease.RowObservations;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ShareRequest;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.observation.ConnectionsCounted;

/**
 * The connections that this host may have open to one backend server; a unit is a connection.
 *
 * <p>A lowered allowance counts as in effect only after a connection count that respects it has
 * arrived. Until then, a traffic thread may still open a connection by an older snapshot.
 */
final class ServerAllowance implements LeasedResource {
  private static final int MAX_PUBLISHED = 64;

  private final TableRow row;
  private final RowAllocation allocation;
  private final Deque<Published> published = new ArrayDeque<>();
  private int total;
  private int open;
  private int wanted;

  private ServerAllowance(BackendServerId id, LeaseSettings settings, MonotonicTime now) {
    this.row = TableRow.of(AllowanceController.TABLE, id.value());
    this.allocation = RowAllocation.of(row, settings, now);
  }

  static ServerAllowance of(BackendServerId id, LeaseSettings settings, MonotonicTime now) {
    return new ServerAllowance(id, settings, now);
  }

  void configure(BackendServer server) {
    total = server.connections();
  }

  void connectionsCounted(ConnectionsCounted counted) {
    open = counted.open();
    wanted = counted.wanted();
    while (published.size() > 1 && second().at().isBefore(counted.appliedSnapshotAt())) {
      published.remove();
    }
  }

  /** Runs the allocation and returns the allowance to publish. */
  int run(
      Blackboard blackboard, RoundContext context, Fleet fleet, RowObservations rowObservations) {
    allocation.run(blackboard, context, fleet, this, rowObservations.forRow(row));
    int allowance = usable(allocation.available(context.now()));
    if (published.isEmpty() || published.getLast().allowance() != allowance) {
      published.add(new Published(context.now(), allowance));
      mergeOldest();
    }
    return allowance;
  }

  @Override
  public long total() {
    return total;
  }

  @Override
  public double demand() {
    return wanted;
  }

  @Override
  public boolean needsUnits(long held) {
    return wanted > held;
  }

  @Override
  public double tokensToRequest(long held, int peers, MonotonicTime now) {
    return 0;
  }

  /**
   * Gives nothing while the row's total exceeds the configured one, since lent units delay lowering
   * the row.
   */
  @Override
  public long unitsToGive(long held, ShareRequest request) {
    if (allocation.rowTotal() > total) {
      return 0;
    }
    long fair = FairSplit.unitsToGive(held, wanted, request.held(), request.demand());
    long missing = (long) Math.ceil(request.demand()) - request.held();
    long kept = wanted > 0 ? 1 : 0;
    return Math.max(0, Math.min(Math.min(fair, missing), held - kept));
  }

  @Override
  public void startRelease(long units, double tokens) {
    // Nothing to do: the lowered allowance is published at the end of this round.
  }

  @Override
  public OptionalDouble releasedTokens(long held) {
    return inUse() <= usable(held) ? OptionalDouble.of(0) : OptionalDouble.empty();
  }

  @Override
  public double tokensFor(long units) {
    return 0;
  }

  @Override
  public void deposit(double tokens) {
    // Nothing to do: connections have no tokens.
  }

  @Override
  public long inUse() {
    int highest = published.stream().mapToInt(Published::allowance).max().orElse(0);
    return Math.max(open, highest);
  }

  @Override
  public double peerDemand(EntryHostId peer) {
    return 0;
  }

  /**
   * Returns how many of the held units may be used. They are reduced in proportion while the row's
   * total exceeds the connections that the server accepts.
   */
  private int usable(long held) {
    long rowTotal = allocation.rowTotal();
    return (int) (rowTotal > total ? held * total / rowTotal : held);
  }

  /** Bounds memory when no counts arrive, by merging the two oldest entries into the higher one. */
  private void mergeOldest() {
    if (published.size() > MAX_PUBLISHED) {
      Published oldest = published.remove();
      Published next = published.remove();
      int higher = Math.max(oldest.allowance(), next.allowance());
      published.addFirst(new Published(next.at(), higher));
    }
  }

  private Published second() {
    Iterator<Published> entries = published.iterator();
    entries.next();
    return entries.next();
  }

  /** An allowance and the time of the round that published it. */
  private record Published(MonotonicTime at, int allowance) {}
}

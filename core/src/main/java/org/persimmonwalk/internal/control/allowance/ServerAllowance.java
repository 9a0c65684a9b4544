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
 * This host's connections to one backend server; the units are connections.
 *
 * <p>A lowered allowance is in force only when a count of connections that obeys it has come: until
 * then a traffic thread may still open one under an older snapshot.
 */
final class ServerAllowance implements LeasedResource {
  private static final int PUBLISHED_LIMIT = 64;

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

  void counted(ConnectionsCounted counted) {
    open = counted.open();
    wanted = counted.wanted();
    while (published.size() > 1 && second().at().isBefore(counted.obeyed())) {
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
      forgetOldest();
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

  /** Lends nothing while the row states too many, since lent units delay lowering the row. */
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
    // The lowered allowance is published with this round.
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
    // Connections have no tokens.
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

  /** A server that accepts fewer connections than its row states is divided in proportion. */
  private int usable(long held) {
    long stated = allocation.rowTotal();
    return (int) (stated > total ? held * total / stated : held);
  }

  /** Bounds memory when no count comes; the higher of two allowances stays. */
  private void forgetOldest() {
    if (published.size() > PUBLISHED_LIMIT) {
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

  private record Published(MonotonicTime at, int allowance) {}
}

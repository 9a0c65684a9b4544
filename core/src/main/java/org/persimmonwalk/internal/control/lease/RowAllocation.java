package org.persimmonwalk.internal.control.lease;

import java.util.List;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ShareRequest;
import org.persimmonwalk.model.ShareTransfer;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.observation.PeerMessageReceived;
import org.persimmonwalk.observation.TableRowRead;
import org.persimmonwalk.observation.TableRowReadFailed;
import org.persimmonwalk.observation.TableRowWritten;

/** This host's part of the units of one row; used by the control thread. */
public final class RowAllocation {
  private final Holdings holdings;
  private final GrantRow grants;
  private final TransferGiver giver;
  private final TransferTaker taker;

  private RowAllocation(TableRow row, LeaseSettings settings, MonotonicTime now) {
    this.holdings = Holdings.none(settings);
    this.grants = GrantRow.of(row, settings, holdings, now);
    this.giver = TransferGiver.of(row, holdings);
    this.taker = TransferTaker.of(row, holdings, now);
  }

  /** Returns an allocation that holds nothing yet. */
  public static RowAllocation of(TableRow row, LeaseSettings settings, MonotonicTime now) {
    return new RowAllocation(row, settings, now);
  }

  /** Applies this round's observations on the row and submits the commands that are due. */
  public void run(
      Blackboard blackboard,
      RoundContext context,
      Fleet fleet,
      LeasedUse use,
      List<Observation> observations) {
    MonotonicTime now = context.now();
    holdings.expire(now);
    observations.forEach(observation -> apply(observation, fleet.self(), use, context));
    grants.step(fleet, use, context).ifPresent(blackboard::submit);
    giver.step(use, now).forEach(blackboard::submit);
    taker.step(fleet, use, grants.table(), context).forEach(blackboard::submit);
  }

  /** Returns the units that this host may use now. */
  public long available(MonotonicTime now) {
    return holdings.available(now);
  }

  /** Returns the earliest end of the units that this host may use now. */
  public MonotonicTime end(MonotonicTime now) {
    return holdings.end(now);
  }

  /** Returns the tokens for which transfers under way have reserved room. */
  public double reservedTokens(MonotonicTime now) {
    return taker.reservedTokens(now);
  }

  /** Returns the total that the row stated when it was last read; 0 before that. */
  public long statedTotal() {
    return grants.table().total();
  }

  private void apply(
      Observation observation, EntryHostId self, LeasedUse use, RoundContext context) {
    if (observation instanceof TableRowRead read) {
      grants.read(read, self, context.now());
    } else if (observation instanceof TableRowReadFailed) {
      grants.readFailed(context);
    } else if (observation instanceof TableRowWritten written) {
      grants.written(written.outcome(), context);
    } else if (observation instanceof PeerMessageReceived received) {
      if (received.message() instanceof ShareRequest request) {
        giver.requested(received.from(), request);
      } else if (received.message() instanceof ShareTransfer transfer) {
        taker.answered(transfer, use, context.now());
      }
    }
  }
}

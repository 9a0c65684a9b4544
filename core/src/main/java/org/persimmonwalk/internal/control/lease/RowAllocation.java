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

/**
 * The units of one row that this host holds, by its own grant and by transfers with peers. A
 * controller runs it on the control thread, at most once per round.
 */
public final class RowAllocation {
  private final HeldUnits heldUnits;
  private final GrantManager grantManager;
  private final TransferSender transferSender;
  private final TransferRequester transferRequester;

  private RowAllocation(TableRow row, LeaseSettings settings, MonotonicTime now) {
    this.heldUnits = HeldUnits.none(settings);
    this.grantManager = GrantManager.of(row, settings, heldUnits, now);
    this.transferSender = TransferSender.of(row, heldUnits);
    this.transferRequester = TransferRequester.of(row, heldUnits, now);
  }

  /** Returns an allocation that holds no units yet. */
  public static RowAllocation of(TableRow row, LeaseSettings settings, MonotonicTime now) {
    return new RowAllocation(row, settings, now);
  }

  /** Applies this round's observations on the row and submits the commands that are due. */
  public void run(
      Blackboard blackboard,
      RoundContext context,
      Fleet fleet,
      LeasedResource resource,
      List<Observation> observations) {
    MonotonicTime now = context.now();
    heldUnits.expire(now);
    observations.forEach(observation -> apply(observation, fleet.self(), resource, context));
    grantManager.step(fleet, resource, context).ifPresent(blackboard::submit);
    transferSender.step(resource, now).forEach(blackboard::submit);
    transferRequester
        .step(fleet, resource, grantManager.grantRow(), context)
        .forEach(blackboard::submit);
  }

  /** Returns the units that this host may use now. */
  public long available(MonotonicTime now) {
    return heldUnits.available(now);
  }

  /** Returns the earliest end of the units that this host may use now. */
  public MonotonicTime end(MonotonicTime now) {
    return heldUnits.end(now);
  }

  /** Returns the tokens for which requests in flight have reserved room. */
  public double reservedTokens(MonotonicTime now) {
    return transferRequester.reservedTokens(now);
  }

  /** Returns the total in the row when it was last read; 0 before the first read. */
  public long rowTotal() {
    return grantManager.grantRow().total();
  }

  private void apply(
      Observation observation, EntryHostId self, LeasedResource resource, RoundContext context) {
    if (observation instanceof TableRowRead read) {
      grantManager.read(read, self, context.now());
    } else if (observation instanceof TableRowReadFailed) {
      grantManager.readFailed(context);
    } else if (observation instanceof TableRowWritten written) {
      grantManager.written(written.outcome(), context);
    } else if (observation instanceof PeerMessageReceived received) {
      if (received.message() instanceof ShareRequest request) {
        transferSender.enqueue(received.from(), request);
      } else if (received.message() instanceof ShareTransfer transfer) {
        transferRequester.receive(transfer, resource, context.now());
      }
    }
  }
}

package org.persimmonwalk.internal.control.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The units of one row that this host holds: its own grant, less what it lent to peers, and what it
 * received from peers.
 *
 * <p>Lent units are subtracted from the own grant until their lease has ended at the receiver, even
 * if the grant is renewed in the meantime.
 */
final class HeldUnits {
  /** Bounds memory; beyond it, the two leases whose ends are closest to each other are merged. */
  private static final int MAX_LEASES = 32;

  private final LeaseSettings settings;

  /** Cached, since dividing a duration takes longer than the rest of the check of a lease. */
  private final Duration lentMargin;

  private final List<UnitLease> lent = new ArrayList<>();
  private final List<UnitLease> received = new ArrayList<>();
  private Optional<OwnGrant> own = Optional.empty();
  private long cap = Long.MAX_VALUE;

  private HeldUnits(LeaseSettings settings) {
    this.settings = settings;
    this.lentMargin = settings.lentMargin();
  }

  static HeldUnits none(LeaseSettings settings) {
    return new HeldUnits(settings);
  }

  Optional<OwnGrant> own() {
    return own;
  }

  void setOwn(Optional<OwnGrant> grant) {
    own = grant;
  }

  /** Limits the own grant to the smallest amount that the row may contain for this host. */
  void setCap(long newCap) {
    cap = newCap;
  }

  /** Removes leases that have ended. */
  void expire(MonotonicTime now) {
    lent.removeIf(lease -> !now.isBefore(lease.end().plus(lentMargin)));
    received.removeIf(lease -> !isUsable(lease.end(), now));
  }

  /** Returns the units that may be used now. */
  long available(MonotonicTime now) {
    return ownAvailable(now) + receivedAvailable(now);
  }

  long receivedAvailable(MonotonicTime now) {
    long sum = 0;
    for (UnitLease lease : received) {
      sum += isUsable(lease.end(), now) ? lease.amount() : 0;
    }
    return sum;
  }

  /** Returns the units of the own grant that peers may be using. */
  long lent() {
    long sum = 0;
    for (UnitLease lease : lent) {
      sum += lease.amount();
    }
    return sum;
  }

  /**
   * Returns the earliest end of the units that may be used now; the current time if there are none.
   */
  MonotonicTime end(MonotonicTime now) {
    Optional<MonotonicTime> earliest =
        ownAvailable(now) > 0 ? own.map(OwnGrant::end) : Optional.empty();
    for (UnitLease lease : received) {
      if (isUsable(lease.end(), now)
          && (earliest.isEmpty() || lease.end().isBefore(earliest.get()))) {
        earliest = Optional.of(lease.end());
      }
    }
    return earliest.orElse(now);
  }

  /** Takes up to the given number of units out of the largest lease, for a transfer to a peer. */
  Optional<UnitLease> take(long wanted, MonotonicTime now) {
    Optional<UnitLease> largest =
        received.stream()
            .filter(lease -> isWorthTransferring(lease.end(), now))
            .max(Comparator.comparingLong(UnitLease::amount));
    long ownPart =
        own.isPresent() && isWorthTransferring(own.get().end(), now) ? ownAvailable(now) : 0;
    if (ownPart > 0 && ownPart >= largest.map(UnitLease::amount).orElse(0L)) {
      UnitLease taken = new UnitLease(Math.min(wanted, ownPart), own.get().end());
      lent.add(taken);
      mergeClosest(lent, true);
      return Optional.of(taken);
    }
    return largest.map(lease -> takeReceived(lease, Math.min(wanted, lease.amount())));
  }

  /** Adds units received from a peer, or units that were taken but not sent. */
  void receive(UnitLease lease) {
    if (lease.amount() > 0) {
      received.add(lease);
      mergeClosest(received, false);
    }
  }

  private UnitLease takeReceived(UnitLease lease, long amount) {
    received.remove(lease);
    if (amount < lease.amount()) {
      received.add(lease.minus(amount));
    }
    return new UnitLease(amount, lease.end());
  }

  private long ownAvailable(MonotonicTime now) {
    if (own.isEmpty() || !isUsable(own.get().end(), now)) {
      return 0;
    }
    return Math.max(0, Math.min(own.get().amount(), cap) - lent());
  }

  private boolean isUsable(MonotonicTime end, MonotonicTime now) {
    return now.plus(settings.safetyMargin()).isBefore(end);
  }

  private boolean isWorthTransferring(MonotonicTime end, MonotonicTime now) {
    return now.plus(settings.safetyMargin()).plus(settings.minTransferDuration()).isBefore(end);
  }

  /**
   * Merges the two leases whose ends are closest. To be safe, the result ends with the later of
   * them for lent units and with the earlier one for received units.
   */
  private static void mergeClosest(List<UnitLease> leases, boolean endLater) {
    if (leases.size() <= MAX_LEASES) {
      return;
    }
    leases.sort(Comparator.comparing(UnitLease::end));
    int closest = 0;
    for (int i = 1; i + 1 < leases.size(); i++) {
      if (gap(leases, i) < gap(leases, closest)) {
        closest = i;
      }
    }
    UnitLease earlier = leases.remove(closest);
    UnitLease later = leases.remove(closest);
    MonotonicTime end = endLater ? later.end() : earlier.end();
    leases.add(new UnitLease(earlier.amount() + later.amount(), end));
  }

  private static long gap(List<UnitLease> leases, int index) {
    return leases.get(index + 1).end().since(leases.get(index).end()).toNanos();
  }
}

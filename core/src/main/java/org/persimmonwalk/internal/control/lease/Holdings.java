package org.persimmonwalk.internal.control.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.persimmonwalk.model.MonotonicTime;

/**
 * What this host holds of one row: its own grant, less what it lent to peers, and what it received
 * from peers.
 *
 * <p>Units that were lent count against the own grant until they have ended at the receiver, also
 * when the grant is renewed meanwhile.
 */
final class Holdings {
  /** Bounds memory; beyond it the two pieces that end closest to each other become one. */
  private static final int PIECES_LIMIT = 32;

  private final LeaseSettings settings;

  /** Kept, because dividing a duration takes longer than the rest of a look at a piece. */
  private final Duration lentMargin;

  private final List<Holding> lent = new ArrayList<>();
  private final List<Holding> received = new ArrayList<>();
  private Optional<OwnGrant> own = Optional.empty();
  private long cap = Long.MAX_VALUE;

  private Holdings(LeaseSettings settings) {
    this.settings = settings;
    this.lentMargin = settings.lentMargin();
  }

  static Holdings none(LeaseSettings settings) {
    return new Holdings(settings);
  }

  Optional<OwnGrant> own() {
    return own;
  }

  void setOwn(Optional<OwnGrant> grant) {
    own = grant;
  }

  /** Limits the use of the own grant to the least that the row may state. */
  void setCap(long newCap) {
    cap = newCap;
  }

  /** Forgets pieces that have ended. */
  void expire(MonotonicTime now) {
    lent.removeIf(piece -> !now.isBefore(piece.end().plus(lentMargin)));
    received.removeIf(piece -> !isUsable(piece.end(), now));
  }

  /** Returns the units that may be used now. */
  long available(MonotonicTime now) {
    return ownAvailable(now) + receivedAvailable(now);
  }

  long receivedAvailable(MonotonicTime now) {
    long sum = 0;
    for (Holding piece : received) {
      sum += isUsable(piece.end(), now) ? piece.amount() : 0;
    }
    return sum;
  }

  /** Returns the units of the own grant that peers may be using. */
  long lent() {
    long sum = 0;
    for (Holding piece : lent) {
      sum += piece.amount();
    }
    return sum;
  }

  /** Returns the earliest end of the units that may be used now. */
  MonotonicTime end(MonotonicTime now) {
    Optional<MonotonicTime> earliest =
        ownAvailable(now) > 0 ? own.map(OwnGrant::end) : Optional.empty();
    for (Holding piece : received) {
      if (isUsable(piece.end(), now)
          && (earliest.isEmpty() || piece.end().isBefore(earliest.get()))) {
        earliest = Optional.of(piece.end());
      }
    }
    return earliest.orElse(now);
  }

  /** Takes up to the given number of units out of the largest piece, to be sent to a peer. */
  Optional<Holding> take(long wanted, MonotonicTime now) {
    Optional<Holding> largest =
        received.stream()
            .filter(piece -> isWorthTransfer(piece.end(), now))
            .max(Comparator.comparingLong(Holding::amount));
    long ownPart = own.isPresent() && isWorthTransfer(own.get().end(), now) ? ownAvailable(now) : 0;
    if (ownPart > 0 && ownPart >= largest.map(Holding::amount).orElse(0L)) {
      Holding taken = new Holding(Math.min(wanted, ownPart), own.get().end());
      lent.add(taken);
      mergeClosest(lent, true);
      return Optional.of(taken);
    }
    return largest.map(piece -> takeReceived(piece, Math.min(wanted, piece.amount())));
  }

  /** Adds units that came from a peer, or that were taken and not sent. */
  void receive(Holding piece) {
    if (piece.amount() > 0) {
      received.add(piece);
      mergeClosest(received, false);
    }
  }

  private Holding takeReceived(Holding piece, long amount) {
    received.remove(piece);
    if (amount < piece.amount()) {
      received.add(piece.minus(amount));
    }
    return new Holding(amount, piece.end());
  }

  private long ownAvailable(MonotonicTime now) {
    if (own.isEmpty() || !isUsable(own.get().end(), now)) {
      return 0;
    }
    return Math.max(0, Math.min(own.get().amount(), cap) - lent());
  }

  private boolean isUsable(MonotonicTime end, MonotonicTime now) {
    return now.plus(settings.closing()).isBefore(end);
  }

  private boolean isWorthTransfer(MonotonicTime end, MonotonicTime now) {
    return now.plus(settings.closing()).plus(settings.shortestTransfer()).isBefore(end);
  }

  /** Merges towards the safe side: lent units end later, received ones end earlier. */
  private static void mergeClosest(List<Holding> pieces, boolean endLater) {
    if (pieces.size() <= PIECES_LIMIT) {
      return;
    }
    pieces.sort(Comparator.comparing(Holding::end));
    int closest = 0;
    for (int i = 1; i + 1 < pieces.size(); i++) {
      if (gap(pieces, i) < gap(pieces, closest)) {
        closest = i;
      }
    }
    Holding earlier = pieces.remove(closest);
    Holding later = pieces.remove(closest);
    MonotonicTime end = endLater ? later.end() : earlier.end();
    pieces.add(new Holding(earlier.amount() + later.amount(), end));
  }

  private static long gap(List<Holding> pieces, int index) {
    return pieces.get(index + 1).end().since(pieces.get(index).end()).toNanos();
  }
}

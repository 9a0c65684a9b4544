package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Limits the statements of a priority that this host has in flight at a server, by additive
 * increase and multiplicative decrease on the wait in the server's queue. All hosts see about the
 * same wait, so together they converge without a message for this purpose. There is no limit until
 * the wait first exceeds the headroom.
 *
 * <p>With many hosts the limit is mostly below one. Then a statement is sent only so often that the
 * mean number in flight is the limit.
 */
final class BulkLimit {
  /** The zone's reports come this often. */
  private static final Duration INCREASE_INTERVAL = Duration.ofMillis(250);

  /** The zone's reports cover this time, so the effect of a decrease is not visible earlier. */
  private static final Duration DECREASE_INTERVAL = Duration.ofMillis(1250);

  /** How much is added in an interval, as a part of the even share. */
  private static final double INCREASE_OF_SHARE = 0.08;

  private static final double STRONGEST_DECREASE = 0.5;

  /** All hosts together always keep this part of the slots, so that bulk work does not starve. */
  private static final double SMALLEST_OF_SLOTS = 0.25;

  /** A host may always send after this time, about the shortest deadline of bulk routes. */
  private static final Duration LONGEST_PAUSE = Duration.ofSeconds(2);

  /** The limit ends when nothing has been held for this time, and the wait is short. */
  private static final Duration UNUSED_TIME = Duration.ofSeconds(4);

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double MILLIS_PER_SECOND = 1000;

  private boolean active;
  private double limit;
  private MonotonicTime increasedAt;
  private MonotonicTime decreasedAt;
  private MonotonicTime heldAt;
  private MonotonicTime startedAt;

  /** What the limit follows. */
  record Load(double waitMillis, double headroomMillis, double workMillis, int slots, int hosts) {

    /** Returns how many statements of this host fill the slots and the headroom, if all do so. */
    private double evenShare() {
      return slots * (1 + headroomMillis / Math.max(1, workMillis)) / hosts;
    }

    private double smallest() {
      return SMALLEST_OF_SLOTS * slots / hosts;
    }

    /**
     * Returns how long a statement is in flight while the wait is just the headroom. The wait as
     * estimated would lag behind, so that all hosts would send faster while the queue grows.
     */
    double cycleMillis() {
      return Math.max(1, workMillis) + headroomMillis;
    }
  }

  /** Adapts the limit to the load; returns whether it began or ended. */
  boolean update(Load load, MonotonicTime now) {
    boolean inDanger = load.waitMillis() > load.headroomMillis();
    if (!active) {
      if (inDanger) {
        active = true;
        limit = load.evenShare() * decrease(load);
        increasedAt = now;
        decreasedAt = now;
        heldAt = now;
      }
      return inDanger;
    }
    if (!inDanger && now.since(heldAt).compareTo(UNUSED_TIME) > 0) {
      active = false;
      return true;
    }
    if (inDanger) {
      increasedAt = now;
      if (now.since(decreasedAt).compareTo(DECREASE_INTERVAL) >= 0) {
        decreasedAt = now;
        limit = Math.max(load.smallest(), limit * decrease(load));
      }
    } else if (now.since(increasedAt).compareTo(INCREASE_INTERVAL) >= 0) {
      increasedAt = now;
      limit += INCREASE_OF_SHARE * load.evenShare();
    }
    return false;
  }

  private static double decrease(Load load) {
    return Math.max(STRONGEST_DECREASE, load.headroomMillis() / load.waitMillis());
  }

  boolean isActive() {
    return active;
  }

  double limit() {
    return limit;
  }

  /** Returns when a statement may be sent, if no other one starts; now if it may be at once. */
  MonotonicTime opensAt(Load load, int inFlight, MonotonicTime now) {
    if (!active || (limit >= 1 && inFlight < (int) limit)) {
      return now;
    }
    if (limit < 1 && inFlight == 0 && startedAt != null) {
      Duration pause = millis(load.cycleMillis() / limit);
      MonotonicTime due =
          startedAt.plus(pause.compareTo(LONGEST_PAUSE) < 0 ? pause : LONGEST_PAUSE);
      return due.isBefore(now) ? now : due;
    }
    return inFlight == 0 ? now : now.plus(millis(load.cycleMillis()));
  }

  /** Returns how many statements a second the limit lets through; infinite without a limit. */
  double perSecond(Load load) {
    return active
        ? Math.max(limit * MILLIS_PER_SECOND / load.cycleMillis(), 1.0 / LONGEST_PAUSE.toSeconds())
        : Double.POSITIVE_INFINITY;
  }

  void recordStart(MonotonicTime now) {
    startedAt = now;
  }

  void recordHeld(MonotonicTime now) {
    heldAt = now;
  }

  private static Duration millis(double millis) {
    return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
  }
}

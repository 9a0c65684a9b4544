package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Decides which zones are evacuated, and until when their servers may be used. It handles a few
 * zones and about one verification a second.
 *
 * <p>A request to evacuate a zone that was confirmed after the start of a verification without its
 * row is not in force earlier than that start, so the bound counts from there.
 */
final class EvacuationDecision {
  private final Duration usableTime;
  private final Map<AvailabilityZone, MonotonicTime> absentAt = new HashMap<>();
  private final Map<AvailabilityZone, MonotonicTime> deadlines = new HashMap<>();
  private MonotonicTime resumedAt = MonotonicTime.of(Long.MIN_VALUE / 2);

  private EvacuationDecision(Duration usableTime) {
    this.usableTime = usableTime;
  }

  /** Returns a decision that knows no evacuation. */
  static EvacuationDecision within(Duration bound) {
    return new EvacuationDecision(bound.minus(EngineTimings.TRANSIT_MARGIN));
  }

  /**
   * Records that the row of the zone exists. Without an earlier verification that lacked it, the
   * servers may not be used any more: the row may be of any age.
   */
  void requested(AvailabilityZone zone, MonotonicTime now) {
    deadlines.computeIfAbsent(
        zone, unused -> absentAt.containsKey(zone) ? absentAt.get(zone).plus(usableTime) : now);
  }

  /**
   * Records that a verification lacked the row of the zone.
   *
   * @param verifiedAt the start of the verification
   * @param isReliable whether the store can't have lost the row by coming back from a copy
   */
  void notRequested(AvailabilityZone zone, MonotonicTime verifiedAt, boolean isReliable) {
    if (isReliable) {
      deadlines.remove(zone);
    }
    if (!deadlines.containsKey(zone)) {
      absentAt.put(zone, verifiedAt);
    }
  }

  /**
   * Records when the host last resumed after a suspension, during which its clock stood still: what
   * was verified before may be of any age.
   */
  void resumed(MonotonicTime at) {
    if (!at.isAfter(resumedAt)) {
      return;
    }
    resumedAt = at;
    absentAt.values().removeIf(verified -> verified.isBefore(at));
    deadlines.replaceAll((zone, deadline) -> deadline.isAfter(at) ? at : deadline);
  }

  /** Returns the zones whose rows exist, each with the time until which it may be used. */
  Map<AvailabilityZone, MonotonicTime> deadlines() {
    return Map.copyOf(deadlines);
  }
}

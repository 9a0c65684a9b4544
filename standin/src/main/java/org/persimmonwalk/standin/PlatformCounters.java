package org.persimmonwalk.standin;

import java.util.Map;
import org.persimmonwalk.internal.standin.platform.PlatformCounterRecorder;

/**
 * What callers asked of a stand-in platform since it started.
 *
 * @param requests the requests that arrived, also during outages
 * @param reads the reads carried out
 * @param writes the writes carried out, including those that met a conflict
 * @param conflicts the writes that met another version than expected
 * @param lostAnswers the answers lost after a write took effect
 * @param requestsByZone the requests by the zone that the caller stated
 */
public record PlatformCounters(
    long requests,
    long reads,
    long writes,
    long conflicts,
    long lostAnswers,
    Map<String, Long> requestsByZone) {

  /** Copies the map. */
  public PlatformCounters {
    requestsByZone = Map.copyOf(requestsByZone);
  }

  static PlatformCounters of(PlatformCounterRecorder.Values values) {
    return new PlatformCounters(
        values.requests(),
        values.reads(),
        values.writes(),
        values.conflicts(),
        values.lostAnswers(),
        values.requestsByZone());
  }
}

package org.persimmonwalk.standin;

import java.util.Map;
import org.persimmonwalk.internal.standin.platform.PlatformCounterRecorder;

/**
 * The requests to a stand-in platform since it started.
 *
 * @param requests the requests that arrived, including those during outages
 * @param reads the reads carried out
 * @param writes the writes carried out, including those that ended in a conflict
 * @param conflicts the writes refused since the row had another version than expected
 * @param lostAnswers the writes that were carried out but whose answer was withheld
 * @param requestsByZone the requests by the zone of their zone header, empty if there was none
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

package org.persimmonwalk.internal.standin.platform;

import java.util.Map;
import java.util.TreeMap;

/** Counts the requests to the platform, for the tests' assertions. Thread-safe. */
public final class PlatformCounterRecorder {
  private final Map<String, Long> requestsByZone = new TreeMap<>();
  private long requests;
  private long reads;
  private long writes;
  private long conflicts;
  private long lostAnswers;

  private PlatformCounterRecorder() {}

  /** Returns a recorder whose counters are zero. */
  public static PlatformCounterRecorder create() {
    return new PlatformCounterRecorder();
  }

  /** The values of all counters at one moment. */
  public record Values(
      long requests,
      long reads,
      long writes,
      long conflicts,
      long lostAnswers,
      Map<String, Long> requestsByZone) {}

  /** Returns the current values. */
  public synchronized Values read() {
    return new Values(requests, reads, writes, conflicts, lostAnswers, Map.copyOf(requestsByZone));
  }

  /** Waits until the given number of requests has arrived since the start. */
  public synchronized void awaitRequests(long count) throws InterruptedException {
    while (requests < count) {
      wait();
    }
  }

  /**
   * Counts a request that arrived. Called after the faults that apply to the request have been
   * read: a test that has waited for the request may change the faults without affecting it.
   */
  synchronized void recordRequest(String zone) {
    requests++;
    notifyAll();
    requestsByZone.merge(zone, 1L, Long::sum);
  }

  /** Counts a request that was carried out, by its kind and its outcome. */
  synchronized void recordOutcome(PlatformRequest request, PlatformAnswer answer) {
    if (request.isWrite()) {
      writes++;
    } else {
      reads++;
    }
    if (answer instanceof PlatformAnswer.Conflict) {
      conflicts++;
    }
  }

  synchronized void recordLostAnswer() {
    lostAnswers++;
  }
}

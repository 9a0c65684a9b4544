package org.persimmonwalk.internal.standin.platform;

import java.util.Map;
import java.util.TreeMap;

/** Counts requests to the platform; any thread may use it. */
public final class PlatformCounterBook {
  private final Map<String, Long> requestsByZone = new TreeMap<>();
  private long requests;
  private long reads;
  private long writes;
  private long conflicts;
  private long lostAnswers;

  private PlatformCounterBook() {}

  /** Returns counters at zero. */
  public static PlatformCounterBook create() {
    return new PlatformCounterBook();
  }

  /** The readings at one time. */
  public record Reading(
      long requests,
      long reads,
      long writes,
      long conflicts,
      long lostAnswers,
      Map<String, Long> requestsByZone) {}

  /** Returns the readings now. */
  public synchronized Reading read() {
    return new Reading(requests, reads, writes, conflicts, lostAnswers, Map.copyOf(requestsByZone));
  }

  /** Waits until the given number of requests has arrived since the start. */
  public synchronized void awaitRequests(long count) throws InterruptedException {
    while (requests < count) {
      wait();
    }
  }

  /** Counts a request; the switches that apply to it have been read before. */
  synchronized void arrived(String zone) {
    requests++;
    notifyAll();
    requestsByZone.merge(zone, 1L, Long::sum);
  }

  synchronized void carriedOut(PlatformRequest request, PlatformAnswer answer) {
    if (request.isWrite()) {
      writes++;
    } else {
      reads++;
    }
    if (answer instanceof PlatformAnswer.Conflict) {
      conflicts++;
    }
  }

  synchronized void answerLost() {
    lostAnswers++;
  }
}

package org.persimmonwalk.internal.standin.platform;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The faults injected into the platform. Set by tests, read for each request; thread-safe. */
public final class PlatformFaults {

  /** How the platform treats a request. */
  public enum Treatment {
    /** The platform carries out the request. */
    SERVE,
    /** The platform answers with status 503. */
    REFUSE,
    /** The platform never answers. */
    IGNORE
  }

  private final Map<String, Treatment> treatmentsByZone = new ConcurrentHashMap<>();
  private final AtomicInteger answersToLose = new AtomicInteger();
  private volatile Treatment treatmentOfAll = Treatment.SERVE;
  private volatile Duration requestDelay = Duration.ZERO;

  private PlatformFaults() {}

  /** Returns an instance without faults. */
  public static PlatformFaults create() {
    return new PlatformFaults();
  }

  /** Sets the treatment of all requests; {@code SERVE} leaves the choice to the caller's zone. */
  public void setTreatment(Treatment treatment) {
    treatmentOfAll = Objects.requireNonNull(treatment, "treatment");
  }

  /** Sets the treatment of the requests whose zone header names the given zone. */
  public void setTreatment(String zone, Treatment treatment) {
    treatmentsByZone.put(zone, treatment);
  }

  /** Sets the delay before each request is carried out. */
  public void setRequestDelay(Duration time) {
    requestDelay = Objects.requireNonNull(time, "time");
  }

  /**
   * Makes the given number of next writes take effect but close the connection without an answer.
   */
  public void loseNextAnswers(int count) {
    answersToLose.set(count);
  }

  /** Returns the treatment of a request; the zone is empty if it has no zone header. */
  Treatment treatment(String zone) {
    Treatment all = treatmentOfAll;
    return all == Treatment.SERVE ? treatmentsByZone.getOrDefault(zone, Treatment.SERVE) : all;
  }

  Duration requestDelay() {
    return requestDelay;
  }

  /**
   * Returns whether to withhold the answer to a write, and counts it against the number to lose.
   */
  boolean consumeAnswerLoss() {
    return answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
  }
}

package org.persimmonwalk.internal.standin.platform;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The faults that are switched on; any thread may use them. */
public final class PlatformSwitches {

  /** How the platform treats a request. */
  public enum Treatment {
    /** The platform carries out the request. */
    SERVE,
    /** The platform answers with status 503. */
    REFUSE,
    /** The platform never answers. */
    IGNORE
  }

  private final Map<String, Treatment> zones = new ConcurrentHashMap<>();
  private final AtomicInteger answersToLose = new AtomicInteger();
  private volatile Treatment general = Treatment.SERVE;
  private volatile Duration slowness = Duration.ZERO;

  private PlatformSwitches() {}

  /** Returns switches without faults. */
  public static PlatformSwitches create() {
    return new PlatformSwitches();
  }

  /** Sets the treatment of all requests. */
  public void setTreatment(Treatment treatment) {
    general = Objects.requireNonNull(treatment, "treatment");
  }

  /** Sets the treatment of the requests from a zone. */
  public void setTreatment(String zone, Treatment treatment) {
    zones.put(zone, treatment);
  }

  /** Sets the time that each request waits before it is carried out. */
  public void setSlowness(Duration time) {
    slowness = Objects.requireNonNull(time, "time");
  }

  /** Ends connections without an answer after the next writes took effect. */
  public void loseAnswers(int count) {
    answersToLose.set(count);
  }

  /** Returns the treatment of a request; the zone is empty if the caller does not state one. */
  Treatment treatment(String zone) {
    Treatment all = general;
    return all == Treatment.SERVE ? zones.getOrDefault(zone, Treatment.SERVE) : all;
  }

  Duration slowness() {
    return slowness;
  }

  boolean takeLostAnswer() {
    return answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
  }
}

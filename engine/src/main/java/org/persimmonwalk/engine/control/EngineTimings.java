package org.persimmonwalk.engine.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * The intervals, ages and timeouts of the controllers, derived from the bounds that they serve.
 *
 * <p>Times on which all hosts must agree are constants instead, since hosts may run with different
 * settings during a restart in turn: the validity of a verification, that of tokens and loans, and
 * the duration of the promotion lease. {@link #unkeptBounds} tells which bounds they cannot keep.
 *
 * @param verificationInterval how often the configuration and the primaries are verified
 * @param verificationHedgeDelay when a second call is sent because the first has no answer yet
 * @param relayStaleAge the age from which the relay's verification counts as stale
 * @param relayFallbackAge the age of its verification from which a host verifies for itself
 * @param claimFreshness the maximum age of the verification of a host that claims the relay role
 * @param exchangeInterval how often a host asks its relay
 * @param readyMaximumAge the age of its verification from which a host reports not ready
 * @param listInterval how often the server list is read
 * @param listFallbackAge the age of its list from which a host reads the list itself
 * @param listOutageThreshold the age of the list from which entries may have expired only because
 *     servers could not renew them
 * @param missingRetention how long a primary stays in use after its entry disappeared
 * @param suspensionTolerance the step of the wall clock that counts as a suspension
 */
public record EngineTimings(
    Duration verificationInterval,
    Duration verificationHedgeDelay,
    Duration relayStaleAge,
    Duration relayFallbackAge,
    Duration claimFreshness,
    Duration exchangeInterval,
    Duration readyMaximumAge,
    Duration listInterval,
    Duration listFallbackAge,
    Duration listOutageThreshold,
    Duration missingRetention,
    Duration suspensionTolerance) {

  /** A host uses a primary only if it verified the leadership row within this time. */
  public static final Duration VERIFICATION_VALIDITY = Duration.ofMillis(3000);

  /** Allowance for the rounding of clocks and for a host that is slow between check and use. */
  public static final Duration CLOCK_MARGIN = Duration.ofMillis(300);

  /**
   * Subtracted from the bound of evacuations, which a statement must not arrive after, to allow for
   * statements in transit to a server.
   */
  public static final Duration TRANSIT_MARGIN = Duration.ofMillis(500);

  /** How long a host may spend tokens after taking them. */
  public static final Duration TOKEN_VALIDITY = Duration.ofMillis(5000);

  /**
   * How long a host waits for the reply of another one. Loans are valid for 1.8 s from the request,
   * so most tokens of a later reply could not be spent.
   */
  public static final Duration REPLY_TIMEOUT = Duration.ofMillis(1200);

  /** Three verifications fit into the validity, so that one may be lost and one may be late. */
  private static final Duration LONGEST_VERIFICATION_INTERVAL = VERIFICATION_VALIDITY.dividedBy(3);

  /** More frequent calls would only load the store. */
  private static final Duration SHORTEST_INTERVAL = Duration.ofMillis(200);

  /** A new server is used, and a failed one noticed, only when a list shows it. */
  private static final Duration LONGEST_LIST_INTERVAL = Duration.ofMillis(2000);

  /** The jitter before a replacement is announced, and the way of a list over the relay. */
  private static final Duration ANNOUNCEMENT_TIME = Duration.ofMillis(650);

  /** Time for statements that wait when the primary changes, and for a late timer. */
  private static final Duration DRAIN_MARGIN = Duration.ofMillis(750);

  /** The time from a list that shows a draining primary until no host uses it any more. */
  private static final Duration PLANNED_SWITCH =
      VERIFICATION_VALIDITY
          .plus(CLOCK_MARGIN)
          .plus(CLOCK_MARGIN)
          .plus(ANNOUNCEMENT_TIME)
          .plus(DRAIN_MARGIN);

  /** Entries expire after this many heartbeats without renewal. */
  private static final int HEARTBEATS_UNTIL_EXPIRY = 3;

  /** The time that the call for a list may take. */
  private static final Duration LIST_CALL_TIME = Duration.ofMillis(400);

  /** The timeout of calls to the store. */
  private static final Duration LONGEST_LIST_CALL = Duration.ofMillis(1300);

  /** From a verification until a host has it: one exchange with the relay and late timers. */
  private static final Duration RELAYED_AGE = Duration.ofMillis(600);

  /** A silent relay is noticed within 1 s, and claimed by another host within 1.4 s more. */
  private static final Duration RELAY_REPLACEMENT = Duration.ofMillis(2400);

  /** A suspended host reads its clocks this soon after it resumes. */
  private static final Duration DETECTION_TIME = Duration.ofMillis(50);

  /** Between two readings, clock synchronization adjusts the wall clock by less than this. */
  private static final Duration LONGEST_SUSPENSION_TOLERANCE = Duration.ofMillis(250);

  /** Derives the timings. */
  public static EngineTimings of(ServiceBounds bounds) {
    Duration verification =
        between(
            SHORTEST_INTERVAL,
            bounds.configurationApply().dividedBy(3),
            LONGEST_VERIFICATION_INTERVAL);
    Duration list =
        between(SHORTEST_INTERVAL, bounds.drain().minus(PLANNED_SWITCH), LONGEST_LIST_INTERVAL);
    return new EngineTimings(
        verification,
        // A slow store answers within 0.4 s; a lost answer must not cost a whole timeout.
        verification.dividedBy(2),
        // An older verification means that the relay has lost the store or is overloaded.
        percent(verification, 120),
        // Allows for the relay's interval, an exchange and a slow answer.
        percent(verification, 140),
        // Only a host that reaches the store can serve the others.
        percent(verification, 150),
        // A host has what its relay verified a quarter of an interval later.
        verification.dividedBy(4),
        verification.plus(RELAYED_AGE),
        list,
        // Leaves the other half for the host's own call and the statements that wait.
        bounds.drain().dividedBy(2),
        bounds.heartbeat().multipliedBy(HEARTBEATS_UNTIL_EXPIRY).plus(LIST_CALL_TIME),
        // The list that lacks the entry may be one interval old.
        between(Duration.ZERO, bounds.drain().minus(list), bounds.drain()),
        between(
            Duration.ofMillis(1),
            bounds.resumeSlack().minus(DETECTION_TIME),
            LONGEST_SUSPENSION_TOLERANCE));
  }

  /**
   * Returns the age of its verification from which a host verifies for itself although its relay
   * goes on verifying. With replies that take 0.3 s, a relayed verification is up to 1.7 s old; own
   * calls sooner would load a store that is slow already.
   */
  public Duration slowRelayFallbackAge() {
    return percent(verificationInterval, 180);
  }

  /**
   * Returns the time after its verification for which a configuration is used at primaries: the
   * bound for new configurations, and not less than any verification is valid for.
   */
  public static Duration configurationValidity(ServiceBounds bounds) {
    return between(VERIFICATION_VALIDITY, bounds.configurationApply(), bounds.configurationApply());
  }

  /**
   * Returns the age of the relay's verification of the configuration from which a host reads the
   * configuration itself: the relay may have the smallest link of the zone. At 2 Mbit/s a relay has
   * 290 KB, and has passed them on, 2.9 intervals after the verification before.
   */
  public Duration configurationFallbackAge() {
    return percent(verificationInterval, 290);
  }

  /** Returns the time since its last new verification for which a relay counts as advancing. */
  public Duration relayAdvanceAge() {
    return percent(verificationInterval, 160);
  }

  /**
   * Returns a sentence for each bound that is too short to be kept, with the shortest that is
   * possible.
   */
  public static List<String> unkeptBounds(EngineSettings settings) {
    ServiceBounds bounds = settings.bounds();
    List<String> unkept = new ArrayList<>();
    check(
        unkept,
        "drain",
        bounds.drain(),
        PLANNED_SWITCH.plus(SHORTEST_INTERVAL),
        "a draining primary is left only after its replacement was announced");
    check(
        unkept,
        "configuration apply",
        bounds.configurationApply(),
        SHORTEST_INTERVAL.multipliedBy(3),
        "a configuration is read by the next verification and passed on by the relay");
    check(
        unkept,
        "contact",
        bounds.contact(),
        RELAY_REPLACEMENT,
        "the other hosts of a zone need this time to replace a failed relay");
    bounds
        .evacuation()
        .ifPresent(
            evacuation ->
                check(
                    unkept,
                    "evacuation",
                    evacuation,
                    RELAY_REPLACEMENT.plus(TRANSIT_MARGIN),
                    "a zone whose relay has failed hears of an evacuation from the next relay"));
    check(
        unkept,
        "key revocation",
        settings.keyRevocation(),
        LONGEST_VERIFICATION_INTERVAL.multipliedBy(2),
        "a verification that is one interval old and late must still vouch for keys");
    check(
        unkept,
        "rate window plus configuration apply",
        settings.rateWindow().plus(bounds.configurationApply()),
        TOKEN_VALIDITY,
        "tokens of an earlier, higher limit stay valid this long");
    return List.copyOf(unkept);
  }

  /**
   * Returns how long after a restart a server list must be read to show it: the server renews its
   * entry with the next heartbeat, and a list counts as read when its answer arrives.
   */
  public static Duration restartVisibleAfter(ServiceBounds bounds) {
    return bounds.heartbeat().plus(LONGEST_LIST_CALL);
  }

  private static void check(
      List<String> unkept, String bound, Duration set, Duration shortest, String reason) {
    if (set.compareTo(shortest) < 0) {
      unkept.add(
          "the bound "
              + bound
              + " is "
              + set.toMillis()
              + " ms, the shortest that is kept is "
              + shortest.toMillis()
              + " ms: "
              + reason);
    }
  }

  private static Duration between(Duration minimum, Duration value, Duration maximum) {
    Duration raised = value.compareTo(minimum) < 0 ? minimum : value;
    return raised.compareTo(maximum) > 0 ? maximum : raised;
  }

  private static Duration percent(Duration duration, int percent) {
    return duration.multipliedBy(percent).dividedBy(100);
  }
}

package org.persimmonwalk.internal.control.primary;

import java.time.Duration;
import java.util.Objects;

/**
 * The timeouts and delays of promotions.
 *
 * @param failureTimeout how long a primary must be unreachable for this host and every replica
 *     before it counts as failed
 * @param maxSampleAge the greatest age of a sample that still counts as the state of its server
 * @param rankStep the delay that each rank of a host adds; also the unit of the backoff
 * @param storeTimeout how long to wait for the table service before the promotion continues without
 *     it
 * @param retryInterval the time after which an unanswered command is sent again
 * @param stallTimeout how long a promotion may go without progress, at this host or another one,
 *     before this host gives up its own attempt or no longer waits for the other host's
 * @param fenceGrace how long after the first fence command a promotion with enough fenced servers
 *     still waits for further reachable ones
 */
public record PromotionSettings(
    Duration failureTimeout,
    Duration maxSampleAge,
    Duration rankStep,
    Duration storeTimeout,
    Duration retryInterval,
    Duration stallTimeout,
    Duration fenceGrace) {

  /** Checks that all parts are present. */
  public PromotionSettings {
    Objects.requireNonNull(failureTimeout, "failureTimeout");
    Objects.requireNonNull(maxSampleAge, "maxSampleAge");
    Objects.requireNonNull(rankStep, "rankStep");
    Objects.requireNonNull(storeTimeout, "storeTimeout");
    Objects.requireNonNull(retryInterval, "retryInterval");
    Objects.requireNonNull(stallTimeout, "stallTimeout");
    Objects.requireNonNull(fenceGrace, "fenceGrace");
  }

  /** Returns the default settings, which entry hosts use. */
  public static PromotionSettings defaults() {
    return new PromotionSettings(
        Duration.ofSeconds(2),
        Duration.ofSeconds(1),
        Duration.ofMillis(300),
        Duration.ofSeconds(1),
        Duration.ofMillis(500),
        Duration.ofSeconds(2),
        Duration.ofMillis(300));
  }
}

package org.persimmonwalk.internal.control.primary;

import java.time.Duration;
import java.util.Objects;

/**
 * The times that govern promotions.
 *
 * @param failureTime how long a primary must be out of reach of this host and of every replica
 * @param sampleAge the oldest sample that counts as a server's own report
 * @param rankStep the delay of a host against the host of the next lower rank
 * @param storeTimeout the time after which a promotion goes on without the table service
 * @param retryInterval the time after which an unanswered command is sent again
 * @param rivalTime how long another host's promotion is left alone without progress
 * @param fenceGrace how long a complete fence waits for the answers of further servers in reach
 */
public record PromotionSettings(
    Duration failureTime,
    Duration sampleAge,
    Duration rankStep,
    Duration storeTimeout,
    Duration retryInterval,
    Duration rivalTime,
    Duration fenceGrace) {

  /** Checks that all parts are present. */
  public PromotionSettings {
    Objects.requireNonNull(failureTime, "failureTime");
    Objects.requireNonNull(sampleAge, "sampleAge");
    Objects.requireNonNull(rankStep, "rankStep");
    Objects.requireNonNull(storeTimeout, "storeTimeout");
    Objects.requireNonNull(retryInterval, "retryInterval");
    Objects.requireNonNull(rivalTime, "rivalTime");
    Objects.requireNonNull(fenceGrace, "fenceGrace");
  }

  /** Returns the times of the design page. */
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

package org.persimmonwalk.engine.testing;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;

/**
 * Fake of the hosts' links from the store, which carry an answer with the configuration slowly and
 * all others at once.
 */
public final class FakeStoreLink {
  /** How long an answer with the configuration takes; zero for a link of any size. */
  public Duration configurationTransfer = Duration.ZERO;

  /** The answers with the configuration that the store has begun to send. */
  public int transfersStarted;

  private final FakeScheduler scheduler;
  private final Duration callTimeout;

  FakeStoreLink(FakeScheduler scheduler, Duration callTimeout) {
    this.scheduler = scheduler;
    this.callTimeout = callTimeout;
  }

  /** Delivers an answer of the store to a host, now or when the link has carried it. */
  void deliver(Engine host, TransactionAnswered answer) {
    Consumer<Observation> post = host.loop()::post;
    if (!carriesConfiguration(answer) || configurationTransfer.isZero()) {
      post.accept(answer);
      return;
    }
    transfersStarted++;
    boolean isGivenUp = configurationTransfer.compareTo(callTimeout) > 0;
    scheduler.schedule(
        isGivenUp ? callTimeout : configurationTransfer,
        () ->
            post.accept(
                isGivenUp
                    ? TransactionAnswered.without(answer.transaction(), TransactionResult.UNKNOWN)
                    : answer));
  }

  /** Returns whether the answer has the configuration: the store sends rows that differ. */
  private static boolean carriesConfiguration(TransactionAnswered answer) {
    return answer.result() == TransactionResult.CONFLICT
        && Optional.ofNullable(answer.transaction().expected().get(RowKey.CONFIGURATION))
            .filter(
                expected ->
                    answer.rows().get(RowKey.CONFIGURATION).version().number()
                        != expected.number())
            .isPresent();
  }
}

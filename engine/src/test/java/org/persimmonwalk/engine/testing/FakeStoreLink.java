package org.persimmonwalk.engine.testing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.control.LargeAnswerStarted;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.TransactionAnswered;
import org.persimmonwalk.engine.control.TransactionResult;

/**
 * Fake of the hosts' links from the store, which carry an answer with the configuration slowly and
 * all others at once. A host gives such an answer up when nothing of it has arrived for the timeout
 * of a call. Answers on one link share it.
 */
public final class FakeStoreLink {
  private static final Duration STEP = Duration.ofMillis(10);

  /** How long each answer takes to reach the host, in addition to what follows. */
  public Supplier<Duration> answerDelay = () -> Duration.ZERO;

  /** How long an answer with the configuration takes; zero for a link of any size. */
  public Duration configurationTransfer = Duration.ZERO;

  /**
   * Whether the store sends all rows that a refused call expects, also those that do not differ.
   */
  public boolean sendsUnchangedRows;

  /** Whether the links carry nothing at present. */
  public boolean isStalled;

  /** The answers with the configuration that the store has begun to send to each host. */
  public final Map<Engine, Integer> transfersStarted = new HashMap<>();

  private final FakeScheduler scheduler;
  private final Duration callTimeout;
  private final Map<Engine, Integer> active = new HashMap<>();

  FakeStoreLink(FakeScheduler scheduler, Duration callTimeout) {
    this.scheduler = scheduler;
    this.callTimeout = callTimeout;
  }

  /** Delivers an answer of the store to a host, now or when the link has carried it. */
  void deliver(Engine host, TransactionAnswered answer) {
    Duration delay = answerDelay.get();
    if (delay.isZero()) {
      begin(host, answer);
    } else {
      scheduler.schedule(delay, () -> begin(host, answer));
    }
  }

  private void begin(Engine host, TransactionAnswered answer) {
    Consumer<Observation> post = host.loop()::post;
    if (!carriesConfiguration(answer) || configurationTransfer.isZero()) {
      post.accept(answer);
      return;
    }
    transfersStarted.merge(host, 1, Integer::sum);
    active.merge(host, 1, Integer::sum);
    post.accept(new LargeAnswerStarted(answer.transaction()));
    carry(host, answer, configurationTransfer, callTimeout);
  }

  private void carry(Engine host, TransactionAnswered answer, Duration left, Duration patience) {
    if (!left.isNegative() && !left.isZero() && !patience.isZero()) {
      Duration part = isStalled ? Duration.ZERO : STEP.dividedBy(active.get(host));
      Duration wait = isStalled ? patience.minus(STEP) : callTimeout;
      scheduler.schedule(STEP, () -> carry(host, answer, left.minus(part), wait));
      return;
    }
    active.merge(host, -1, Integer::sum);
    host.loop()
        .post(
            patience.isZero()
                ? TransactionAnswered.without(answer.transaction(), TransactionResult.UNKNOWN)
                : answer);
  }

  /** Returns whether the answer has the configuration: the store sends rows that differ. */
  private boolean carriesConfiguration(TransactionAnswered answer) {
    return answer.result() == TransactionResult.CONFLICT
        && Optional.ofNullable(answer.transaction().expected().get(RowKey.CONFIGURATION))
            .filter(
                expected ->
                    sendsUnchangedRows
                        || answer.rows().get(RowKey.CONFIGURATION).version().number()
                            != expected.number())
            .isPresent();
  }
}

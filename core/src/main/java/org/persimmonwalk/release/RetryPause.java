package org.persimmonwalk.release;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/** The delay before {@link ReleaseNotePublisher} retries. Tests use one that does not wait. */
public interface RetryPause {

  /** Returns a stage that completes when the given retry, counted from 1, may start. */
  CompletionStage<Void> await(int retry);

  /** Returns a linear backoff: half a second times the number of the retry. */
  static RetryPause growing() {
    return retry -> {
      Executor delayed = CompletableFuture.delayedExecutor(500L * retry, TimeUnit.MILLISECONDS);
      return CompletableFuture.runAsync(() -> {}, delayed);
    };
  }
}

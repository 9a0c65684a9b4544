package org.persimmonwalk.release;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/** The pause before a step of publishing is repeated. */
public interface RetryPause {

  /** Returns a stage that ends when the given repetition, counted from 1, may start. */
  CompletionStage<Void> await(int repetition);

  /** Returns a pause of half a second times the number of the repetition. */
  static RetryPause growing() {
    return repetition -> {
      Executor later = CompletableFuture.delayedExecutor(500L * repetition, TimeUnit.MILLISECONDS);
      return CompletableFuture.runAsync(() -> {}, later);
    };
  }
}

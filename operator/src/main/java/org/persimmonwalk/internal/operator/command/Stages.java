package org.persimmonwalk.internal.operator.command;

import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.persimmonwalk.result.PersimmonwalkException;

/** Waits for completion stages. */
final class Stages {

  private Stages() {}

  /**
   * Blocks until the stage completes and returns its result. A {@link PersimmonwalkException} is
   * thrown without the {@link CompletionException}s around it.
   */
  static <T> T await(CompletionStage<T> stage) {
    try {
      return stage.toCompletableFuture().join();
    } catch (CompletionException e) {
      Throwable cause = e;
      while (cause instanceof CompletionException && cause.getCause() != null) {
        cause = cause.getCause();
      }
      if (cause instanceof PersimmonwalkException known) {
        throw known;
      }
      throw e;
    }
  }
}

package org.persimmonwalk.internal.operator.command;

import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.persimmonwalk.result.PersimmonwalkException;

/** Waits for asynchronous results. */
final class Stages {

  private Stages() {}

  /** Returns the result; the failure of the stage is thrown as it is. */
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

package org.persimmonwalk.internal.store;

import java.net.ConnectException;
import java.net.http.HttpConnectTimeoutException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import org.persimmonwalk.store.PlatformSettings;

/** Decides what a failed exchange says of its request; a request counts as sent when in doubt. */
final class FailureOutcomes {

  private FailureOutcomes() {}

  static HttpOutcome of(Throwable failure, PlatformSettings settings) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    if (hasCause(cause, OversizedAnswerException.class)) {
      return new HttpOutcome.Oversized(settings.maximumAnswerBytes());
    }
    if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
      return new HttpOutcome.NotSent("no connection to " + settings.endpoint());
    }
    if (cause instanceof TimeoutException) {
      return new HttpOutcome.AnswerLost(
          "no answer within " + settings.timeout().toMillis() + " ms");
    }
    return new HttpOutcome.AnswerLost(cause.toString());
  }

  private static boolean hasCause(Throwable failure, Class<?> type) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (type.isInstance(cause)) {
        return true;
      }
    }
    return false;
  }
}

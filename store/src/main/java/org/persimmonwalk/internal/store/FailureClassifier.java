package org.persimmonwalk.internal.store;

import java.net.ConnectException;
import java.net.http.HttpConnectTimeoutException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import org.persimmonwalk.store.PlatformSettings;

/**
 * Classifies the failures of requests. A request counts as not sent only if that is certain; in any
 * other case the platform may have carried it out.
 */
final class FailureClassifier {

  private FailureClassifier() {}

  static HttpOutcome classify(Throwable failure, PlatformSettings settings) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    if (hasCause(cause, ResponseTooLargeException.class)) {
      return new HttpOutcome.ResponseTooLarge(settings.maximumResponseBytes());
    }
    if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
      return new HttpOutcome.NotSent("no connection to " + settings.endpoint());
    }
    if (cause instanceof TimeoutException) {
      return new HttpOutcome.ResponseLost(
          "no response within " + settings.timeout().toMillis() + " ms");
    }
    return new HttpOutcome.ResponseLost(cause.toString());
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

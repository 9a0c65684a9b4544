package org.persimmonwalk.internal.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ConnectException;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpTimeoutException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.store.PlatformSettings;

class FailureClassifierTest {
  private final PlatformSettings settings =
      PlatformSettings.of(SocketEndpoint.of("127.0.0.1", 80), AvailabilityZone.of("north"));

  /** Guards against reporting a request as not sent although it may have been carried out. */
  @Test
  void shouldCountARequestAsSentWhenInDoubt() {
    assertThat(outcome(new TimeoutException())).isInstanceOf(HttpOutcome.ResponseLost.class);
    assertThat(outcome(new CompletionException(new HttpTimeoutException("late"))))
        .isInstanceOf(HttpOutcome.ResponseLost.class);
    assertThat(outcome(new IOException("reset"))).isInstanceOf(HttpOutcome.ResponseLost.class);
  }

  /** Guards against reporting a request as sent although no connection was opened. */
  @Test
  void shouldCountARequestWithoutConnectionAsNotSent() {
    assertThat(outcome(new CompletionException(new ConnectException())))
        .isInstanceOf(HttpOutcome.NotSent.class);
    assertThat(outcome(new HttpConnectTimeoutException("late")))
        .isInstanceOf(HttpOutcome.NotSent.class);
  }

  private HttpOutcome outcome(Throwable failure) {
    return FailureClassifier.classify(failure, settings);
  }
}

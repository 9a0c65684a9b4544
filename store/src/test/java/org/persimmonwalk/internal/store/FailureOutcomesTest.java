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

class FailureOutcomesTest {
  private final PlatformSettings settings =
      PlatformSettings.of(SocketEndpoint.of("127.0.0.1", 80), AvailabilityZone.of("north"));

  /** Guards against a write that may have run and counts as not sent. */
  @Test
  void shouldCountARequestAsSentWhenInDoubt() {
    assertThat(outcome(new TimeoutException())).isInstanceOf(HttpOutcome.AnswerLost.class);
    assertThat(outcome(new CompletionException(new HttpTimeoutException("late"))))
        .isInstanceOf(HttpOutcome.AnswerLost.class);
    assertThat(outcome(new IOException("reset"))).isInstanceOf(HttpOutcome.AnswerLost.class);
  }

  /** Guards against a request without a connection that counts as sent. */
  @Test
  void shouldCountARequestWithoutConnectionAsNotSent() {
    assertThat(outcome(new CompletionException(new ConnectException())))
        .isInstanceOf(HttpOutcome.NotSent.class);
    assertThat(outcome(new HttpConnectTimeoutException("late")))
        .isInstanceOf(HttpOutcome.NotSent.class);
  }

  private HttpOutcome outcome(Throwable failure) {
    return FailureOutcomes.of(failure, settings);
  }
}

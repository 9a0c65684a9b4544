package org.persimmonwalk.internal.store;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.persimmonwalk.store.PlatformSettings;

/**
 * Sends HTTP requests to the platform. The number of requests in flight, their time and the size of
 * responses are limited. Safe for use by several threads.
 */
public final class HttpTransport implements AutoCloseable {
  private static final String ZONE_HEADER = "X-Availability-Zone";
  private static final int THREADS = 2;

  /**
   * Connecting may take half of the timeout. It thus fails before the request times out, and the
   * request is known not to have been sent.
   */
  private static final int CONNECT_TIMEOUT_DIVISOR = 2;

  private final PlatformSettings settings;
  private final ExecutorService threads;
  private final HttpClient client;
  private final Semaphore inFlight;

  private HttpTransport(PlatformSettings settings) {
    this.settings = settings;
    this.inFlight = new Semaphore(settings.maximumInFlight());
    this.threads =
        Executors.newFixedThreadPool(
            THREADS,
            action -> {
              Thread thread = new Thread(action, "platform-client");
              thread.setDaemon(true);
              return thread;
            });
    this.client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(settings.timeout().dividedBy(CONNECT_TIMEOUT_DIVISOR))
            .executor(threads)
            .build();
  }

  /** Returns a transport; it connects with the first request. */
  public static HttpTransport create(PlatformSettings settings) {
    return new HttpTransport(settings);
  }

  /** Sends a GET request; the future never fails. */
  public CompletableFuture<HttpOutcome> get(String path) {
    return send(request(path).GET().build());
  }

  /** Sends a PUT request; the future never fails. */
  public CompletableFuture<HttpOutcome> put(String path, byte[] body) {
    return send(request(path).PUT(HttpRequest.BodyPublishers.ofByteArray(body)).build());
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + settings.endpoint() + path))
        .header(ZONE_HEADER, settings.zone().value());
  }

  private CompletableFuture<HttpOutcome> send(HttpRequest request) {
    if (!inFlight.tryAcquire()) {
      return CompletableFuture.completedFuture(
          new HttpOutcome.NotSent(
              "the limit of " + settings.maximumInFlight() + " requests in flight is reached"));
    }
    CompletableFuture<HttpResponse<byte[]>> pending;
    try {
      pending = client.sendAsync(request, info -> BoundedBody.of(settings.maximumResponseBytes()));
    } catch (RuntimeException failure) {
      inFlight.release();
      return CompletableFuture.completedFuture(new HttpOutcome.NotSent(failure.toString()));
    }
    return pending
        .copy()
        .orTimeout(settings.timeout().toNanos(), TimeUnit.NANOSECONDS)
        .handle(
            (response, failure) -> {
              pending.cancel(true);
              inFlight.release();
              return failure == null
                  ? new HttpOutcome.Responded(response.statusCode(), response.body())
                  : FailureClassifier.classify(failure, settings);
            });
  }

  @Override
  public void close() {
    threads.shutdown();
  }
}

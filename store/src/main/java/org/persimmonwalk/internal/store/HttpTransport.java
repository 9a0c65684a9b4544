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

/** Sends requests to the platform; the number in flight, the time and the answers are bounded. */
public final class HttpTransport implements AutoCloseable {
  private static final String ZONE_HEADER = "X-Availability-Zone";
  private static final int THREADS = 2;

  /** Half of the time is for connecting, so that a request that was not sent is known as such. */
  private static final int CONNECT_SHARE = 2;

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
            .connectTimeout(settings.timeout().dividedBy(CONNECT_SHARE))
            .executor(threads)
            .build();
  }

  /** Returns a transport without connections. */
  public static HttpTransport create(PlatformSettings settings) {
    return new HttpTransport(settings);
  }

  /** Sends a GET request; the stage does not fail. */
  public CompletableFuture<HttpOutcome> get(String path) {
    return send(request(path).GET().build());
  }

  /** Sends a PUT request; the stage does not fail. */
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
          new HttpOutcome.NotSent(settings.maximumInFlight() + " requests are in flight"));
    }
    CompletableFuture<HttpResponse<byte[]>> exchange;
    try {
      exchange = client.sendAsync(request, answer -> BoundedBody.of(settings.maximumAnswerBytes()));
    } catch (RuntimeException failure) {
      inFlight.release();
      return CompletableFuture.completedFuture(new HttpOutcome.NotSent(failure.toString()));
    }
    return exchange
        .copy()
        .orTimeout(settings.timeout().toNanos(), TimeUnit.NANOSECONDS)
        .handle(
            (response, failure) -> {
              exchange.cancel(true);
              inFlight.release();
              return failure == null
                  ? new HttpOutcome.Answered(response.statusCode(), response.body())
                  : FailureOutcomes.of(failure, settings);
            });
  }

  @Override
  public void close() {
    threads.shutdown();
  }
}

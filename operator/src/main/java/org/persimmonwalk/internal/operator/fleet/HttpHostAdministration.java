package org.persimmonwalk.internal.operator.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.persimmonwalk.internal.store.BoundedBody;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/** Sends requests to the administration interfaces over HTTP; each has a timeout of 3 s. */
public final class HttpHostAdministration implements HostAdministration {
  private static final Duration TIMEOUT = Duration.ofSeconds(3);

  /** The state of an entry host at the target size of 570 database groups takes about 1 MB. */
  private static final int MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024;

  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int UNAUTHORIZED = 401;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();
  private final HostReportDecoder decoder = HostReportDecoder.create();
  private final Optional<String> token;

  private HttpHostAdministration(Optional<String> token) {
    this.token = token;
  }

  /** Returns a client that sends the operator token, if any, with each request. */
  public static HttpHostAdministration of(Optional<String> token) {
    return new HttpHostAdministration(token);
  }

  @Override
  public CompletionStage<HostReport> state(SocketEndpoint endpoint) {
    return send(endpoint, "GET", "/state").thenApply(body -> decode(endpoint, body));
  }

  @Override
  public CompletionStage<Void> drain(SocketEndpoint endpoint) {
    return send(endpoint, "POST", "/drain").thenAccept(body -> {});
  }

  private CompletionStage<byte[]> send(SocketEndpoint endpoint, String method, String path) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + endpoint + path))
            .timeout(TIMEOUT)
            .method(method, HttpRequest.BodyPublishers.noBody());
    token.ifPresent(value -> request.header("Authorization", "Bearer " + value));
    return client
        .sendAsync(request.build(), info -> BoundedBody.of(MAXIMUM_RESPONSE_BYTES))
        .orTimeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .handle(
            (response, failure) -> {
              if (failure != null) {
                throw unavailable(endpoint, "does not answer");
              }
              return body(endpoint, response);
            });
  }

  private static byte[] body(SocketEndpoint endpoint, HttpResponse<byte[]> response) {
    int status = response.statusCode();
    if (status == UNAUTHORIZED) {
      throw PersimmonwalkException.of(
          ResultCode.OPERATOR_REJECTED,
          "the entry host at " + endpoint + " rejects the operator token; check --token-file");
    }
    if (status != OK && status != ACCEPTED) {
      throw unavailable(endpoint, "answers with HTTP status " + status + detail(response.body()));
    }
    return response.body();
  }

  private static String detail(byte[] body) {
    try {
      return " " + new ObjectMapper().readTree(body).path("error").path("message").asText();
    } catch (IOException e) {
      return "";
    }
  }

  private HostReport decode(SocketEndpoint endpoint, byte[] body) {
    try {
      return decoder.decode(body);
    } catch (IOException | RuntimeException e) {
      throw unavailable(endpoint, "sent a state that cannot be parsed");
    }
  }

  private static PersimmonwalkException unavailable(SocketEndpoint endpoint, String reason) {
    return PersimmonwalkException.of(
        ResultCode.HOST_UNAVAILABLE,
        "the entry host at " + endpoint + " " + reason + "; check the host and its version");
  }
}

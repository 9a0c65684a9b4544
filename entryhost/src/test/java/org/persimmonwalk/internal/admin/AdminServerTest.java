package org.persimmonwalk.internal.admin;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.internal.settings.Settings;
import org.persimmonwalk.internal.settings.SettingsReader;
import org.persimmonwalk.model.HostPhase;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FakeClock;

class AdminServerTest {
  private static final String TOKEN = "operator-token-of-the-test";
  private static final int OVERSIZED = 64 * 1024 + 1;

  private final AtomicInteger drains = new AtomicInteger();
  private final ControlLoop control =
      ControlLoop.of(
          List.of((blackboard, context) -> blackboard.put(Entries.HOST_PHASE, HostPhase.SERVING)),
          command -> {},
          new FakeClock(),
          RandomSource.seeded(1));
  private final MetricRegistry registry = new MetricRegistry();
  private final HttpClient client = HttpClient.newHttpClient();
  private final AdminServer server =
      AdminServer.start(settings(), control::snapshot, registry, drains::incrementAndGet);

  @AfterEach
  void close() {
    server.close();
  }

  @Test
  void shouldServeStateMetricsAndDrainToOperators() throws Exception {
    control.runRound();
    registry.counter("statements.refused.PW-2001").inc();

    JsonNode state = json(send("GET", "/state", TOKEN, 0), 200);
    JsonNode metrics = json(send("GET", "/metrics", TOKEN, 0), 200);
    JsonNode drain = json(send("POST", "/drain", TOKEN, 0), 202);

    assertThat(state.path("host").asText()).isEqualTo("host-a1");
    assertThat(state.path("zone").asText()).isEqualTo("zone-a");
    assertThat(state.path("phase").asText()).isEqualTo("SERVING");
    assertThat(state.path("revision").asLong()).isZero();
    assertThat(metrics.path("counters").path("statements.refused.PW-2001").asLong()).isOne();
    assertThat(drain.path("accepted").asBoolean()).isTrue();
    assertThat(drains).hasValue(1);
  }

  /**
   * Guards against a request that has an effect although its token is missing, wrong or partial.
   */
  @Test
  void shouldRefuseWrongTokensWithoutEffect() throws Exception {
    for (String token : List.of("", "wrong", TOKEN.substring(1), TOKEN + "x")) {
      JsonNode error = json(send("POST", "/drain", token, 0), 401).path("error");
      assertThat(error.path("code").asText()).isEqualTo("PW-1006");
      assertThat(error.path("message").asText()).doesNotContain(TOKEN);
      json(send("GET", "/state", token, 0), 401);
      json(send("GET", "/unknown", token, 0), 401);
    }
    assertThat(drains).hasValue(0);
  }

  /** Guards against requests that use unlimited memory. */
  @Test
  void shouldRefuseOversizedRequestsWithoutEffect() throws Exception {
    JsonNode body = json(send("POST", "/drain", TOKEN, OVERSIZED), 413);
    JsonNode line = json(send("GET", "/" + "x".repeat(5_000), TOKEN, 0), 413);

    assertThat(body.path("error").path("code").asText()).isEqualTo("PW-6005");
    assertThat(line.path("error").path("code").asText()).isEqualTo("PW-6005");
    assertThat(drains).hasValue(0);
  }

  @Test
  void shouldReportCodeForUnknownPathOrMethod() throws Exception {
    assertThat(json(send("GET", "/unknown", TOKEN, 0), 404).at("/error/code").asText())
        .isEqualTo("PW-6006");
    assertThat(json(send("GET", "/drain", TOKEN, 0), 405).at("/error/code").asText())
        .isEqualTo("PW-6006");
    assertThat(drains).hasValue(0);
  }

  /** Guards against a load balancer that sends callers to a host without a configuration. */
  @Test
  void shouldReportHealthToLoadBalancers() throws Exception {
    assertThat(json(send("GET", "/health", "", 0), 503).path("phase").asText())
        .isEqualTo("STARTING");
    control.runRound();
    assertThat(json(send("GET", "/health", "", 0), 200).path("phase").asText())
        .isEqualTo("SERVING");
  }

  /** Guards against an interface that is open to the network if no token is configured. */
  @Test
  void shouldPermitOnlyLoopbackWithoutToken() throws Exception {
    OperatorAccess access = OperatorAccess.of(Optional.empty());

    assertThat(access.permits(requestFrom("127.0.0.1"))).isTrue();
    assertThat(access.permits(requestFrom("10.1.2.3"))).isFalse();
    assertThat(access.permitsPublic(requestFrom("10.1.2.3"))).isFalse();
    assertThat(OperatorAccess.of(Optional.of(TOKEN)).permits(requestFrom("127.0.0.1"))).isFalse();
  }

  private static AdminRequest requestFrom(String address) throws Exception {
    return new AdminRequest("GET", "/state", InetAddress.getByName(address), Optional.empty());
  }

  private HttpResponse<String> send(String method, String path, String token, int bodyBytes)
      throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
            .method(method, HttpRequest.BodyPublishers.ofByteArray(new byte[bodyBytes]));
    if (!token.isEmpty()) {
      request.header("Authorization", "Bearer " + token);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private static JsonNode json(HttpResponse<String> response, int expectedStatus) throws Exception {
    assertThat(response.statusCode()).isEqualTo(expectedStatus);
    return new ObjectMapper().readTree(response.body());
  }

  private static Settings settings() {
    return SettingsReader.create()
        .parse(
            """
            host: {id: host-a1, zone: zone-a}
            caller: {listen: "127.0.0.1:6432", plainText: true}
            backend: {user: persimmonwalk, password: secret}
            peer: {listen: "127.0.0.1:7432", plainText: true}
            platform: {endpoint: "127.0.0.1:9432"}
            admin: {listen: "127.0.0.1:0", token: %s}
            """
                .formatted(TOKEN));
  }
}

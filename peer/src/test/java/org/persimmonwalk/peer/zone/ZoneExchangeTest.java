package org.persimmonwalk.peer.zone;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.engine.ByteBudget;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.RestartNotice;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.SendTokenReply;
import org.persimmonwalk.engine.control.SendTokenRequests;
import org.persimmonwalk.engine.control.SendZoneReply;
import org.persimmonwalk.engine.control.SendZoneRequest;
import org.persimmonwalk.engine.control.ServerList;
import org.persimmonwalk.engine.control.ServerLoad;
import org.persimmonwalk.engine.control.ServerLoadReport;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoreReading;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TokenLoan;
import org.persimmonwalk.engine.control.TokenReply;
import org.persimmonwalk.engine.control.TokenRequest;
import org.persimmonwalk.engine.control.TokenRequestsEnded;
import org.persimmonwalk.engine.control.TokenRequestsReceived;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.engine.control.ZoneRequest;
import org.persimmonwalk.engine.control.ZoneRequestEnded;
import org.persimmonwalk.engine.control.ZoneRequestReceived;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.port.MonotonicClock;

/** Exchanges requests and replies over loopback connections. */
class ZoneExchangeTest {
  private static final long TIMEOUT_SECONDS = 20;
  private static final long BUDGET_BYTES = 64L << 20;
  private static final StoreEra ERA = StoreEra.of(5);
  private static final WorkspaceId WORKSPACE = WorkspaceId.of("oil");
  private static final DatabaseGroupId GROUP = DatabaseGroupId.of("tanks");

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<Observation> receivedRequests = new ArrayBlockingQueue<>(10);
  private final BlockingQueue<Observation> endedRequests = new ArrayBlockingQueue<>(10);

  /**
   * Waits longer than the usual limit, which the first exchange of a process exceeds under load.
   */
  private final ZoneClient client =
      ZoneClient.create(
          group, MonotonicClock.system(), Duration.ofSeconds(TIMEOUT_SECONDS), endedRequests::add);

  private final ZoneClient clientWithUsualTimeout =
      ZoneClient.create(group, MonotonicClock.system(), endedRequests::add);

  @AfterEach
  void stopEventLoop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private ZoneRequestReceived received() throws InterruptedException {
    return (ZoneRequestReceived) receivedRequests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private ZoneRequestEnded ended() throws InterruptedException {
    return (ZoneRequestEnded) endedRequests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private ByteBudget.Account admit(Channel channel) {
    return ByteBudget.of(BUDGET_BYTES).open(bytes -> channel.close());
  }

  private static SocketEndpoint freeEndpoint() throws Exception {
    try (ServerSocket socket = new ServerSocket(0)) {
      return SocketEndpoint.of("127.0.0.1", socket.getLocalPort());
    }
  }

  static SendZoneRequest command(SocketEndpoint endpoint) {
    return new SendZoneRequest(
        new RelayHost(EntryHostId.of("relay"), endpoint),
        new ZoneRequest(
            EntryHostId.of("host"),
            ERA,
            Map.of(
                RowKey.CONFIGURATION,
                StoreVersion.of(ERA, 7),
                RowKey.of("leadership", "tanks"),
                StoreVersion.of(ERA, 3)),
            9,
            true,
            List.of(new TokenRequest(WORKSPACE, 2, 3.5, 4, 1)),
            loads(Duration.ofMillis(130), 1),
            List.of(new RestartNotice(BackendServerId.of("s1"), 41, Duration.ofMillis(17)))));
  }

  static ZoneReply fullReply() {
    Route route =
        new Route(
            DatabaseName.of("tanks"),
            GROUP,
            RouteKind.BOUNDED_STALENESS,
            Duration.ofMillis(800),
            Duration.ofMillis(200),
            1,
            Duration.ofMillis(1500),
            true);
    RoutingConfiguration configuration =
        new RoutingConfiguration(
            5,
            Map.of(route.database(), route),
            Map.of(GROUP, new GroupSettings(54, 1, 12.5, Duration.ofMillis(20_000))),
            Map.of(KeyHash.ofKey("secret"), WORKSPACE),
            Map.of(WORKSPACE, new RateLimit(34.5, 12)),
            Duration.ofSeconds(3));
    ServerEntry server =
        new ServerEntry(
            BackendServerId.of("s1"),
            GROUP,
            SocketEndpoint.of("127.0.0.1", 5432),
            AvailabilityZone.of("a"),
            3,
            true,
            true,
            1_700_000_000_000L,
            Duration.ofMillis(4200));
    return new ZoneReply(
        true,
        ERA,
        Optional.of(Duration.ofMillis(850)),
        Optional.of(Duration.ofMillis(850)),
        StoreVersion.of(ERA, 11),
        Optional.of(new StoreReading(123_456, Duration.ofMillis(850), Duration.ofMillis(840))),
        Map.of(
            RowKey.of("leadership", "tanks"),
            StoredRow.of(StoreVersion.of(ERA, 8), "STABLE s1 1 0"),
            RowKey.of("evacuation", "a"),
            StoredRow.removedAsOf(StoreVersion.of(ERA, 9))),
        Optional.of(configuration),
        Optional.of(new ServerList(77, Duration.ofMillis(1200), List.of(server))),
        List.of(new TokenLoan(WORKSPACE, 3, true, true, Duration.ofMillis(4100))),
        21,
        loads(Duration.ofMillis(70), 30),
        List.of(new RestartNotice(BackendServerId.of("s2"), 43, Duration.ofMillis(19))));
  }

  private static ServerLoadReport loads(Duration age, int hosts) {
    return ServerLoadReport.of(
        age,
        List.of(
            new ServerLoad(BackendServerId.of("s1"), 2, 13, Duration.ofMillis(260), 4, hosts),
            new ServerLoad(BackendServerId.of("s2"), 0, 1, Duration.ofMillis(20), 0, hosts)));
  }

  /** Guards against fields that are lost or swapped by the encoding, in either direction. */
  @Test
  void shouldDeliverRequestsAndRepliesUnchanged() throws Exception {
    SocketEndpoint endpoint = freeEndpoint();
    ZoneServer server = ZoneServer.start(group, endpoint, receivedRequests::add, this::admit);
    SendZoneRequest command = command(endpoint);
    client.send(command);
    ZoneRequestReceived received = received();
    server.reply(new SendZoneReply(received.exchangeId(), fullReply()));
    ZoneRequestEnded ended = ended();

    assertThat(received.request()).isEqualTo(command.request());
    assertThat(ended.command()).isEqualTo(command);
    assertThat(ended.reply()).contains(fullReply());
    assertThat(ended.endedAt().isBefore(ended.sentAt())).isFalse();
  }

  static SendTokenRequests tokenCommand(SocketEndpoint endpoint) {
    return new SendTokenRequests(
        new RelayHost(EntryHostId.of("lender"), endpoint),
        EntryHostId.of("host"),
        List.of(new TokenRequest(WORKSPACE, 0, 3.5, 2, 1)),
        List.of(new RestartNotice(BackendServerId.of("s3"), 47, Duration.ofMillis(23))));
  }

  static TokenReply tokenReply() {
    return new TokenReply(
        true,
        List.of(new TokenLoan(WORKSPACE, 3, true, false, Duration.ofMillis(290))),
        List.of(new RestartNotice(BackendServerId.of("s4"), 53, Duration.ofMillis(29))));
  }

  /** Guards against fields of token requests and loans that are lost or swapped. */
  @Test
  void shouldDeliverTokenRequestsAndLoansUnchanged() throws Exception {
    SocketEndpoint endpoint = freeEndpoint();
    ZoneServer server = ZoneServer.start(group, endpoint, receivedRequests::add, this::admit);
    SendTokenRequests command = tokenCommand(endpoint);
    client.send(command);
    TokenRequestsReceived received =
        (TokenRequestsReceived) receivedRequests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    server.reply(new SendTokenReply(received.exchangeId(), tokenReply()));
    TokenRequestsEnded ended =
        (TokenRequestsEnded) endedRequests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);

    assertThat(received.from()).isEqualTo(command.from());
    assertThat(received.requests()).isEqualTo(command.requests());
    assertThat(received.restartNotices()).isEqualTo(command.restartNotices());
    assertThat(ended.command()).isEqualTo(command);
    assertThat(ended.reply()).contains(tokenReply());
  }

  /** Guards against a relay of an older build, which replies to token requests with all it has. */
  @Test
  void shouldTakeTheLoansOfAReplyOfAnOlderBuild() throws Exception {
    SocketEndpoint endpoint = freeEndpoint();
    ZoneServer server = ZoneServer.start(group, endpoint, receivedRequests::add, this::admit);
    client.send(tokenCommand(endpoint));
    TokenRequestsReceived received =
        (TokenRequestsReceived) receivedRequests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    server.reply(new SendZoneReply(received.exchangeId(), fullReply()));
    TokenRequestsEnded ended =
        (TokenRequestsEnded) endedRequests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);

    assertThat(ended.reply())
        .contains(new TokenReply(true, fullReply().loans(), fullReply().restartNotices()));
  }

  /** Guards against a host of an older build, which knows no waiting operations. */
  @Test
  void shouldAskAnOlderBuildForTheTokensOfWaitingOperationsToo() {
    assertThat(
            ZoneCodec.encode(1, tokenCommand(SocketEndpoint.of("127.0.0.1", 1)))
                .getAsks(0)
                .getTarget())
        .isEqualTo(3);
  }

  /** Guards against requests to two relays that close each other's connection. */
  @Test
  void shouldExchangeWithSeveralRelaysAtOnce() throws Exception {
    SocketEndpoint first = freeEndpoint();
    SocketEndpoint second = freeEndpoint();
    ZoneServer firstServer = ZoneServer.start(group, first, receivedRequests::add, this::admit);
    BlockingQueue<Observation> receivedBySecond = new ArrayBlockingQueue<>(10);
    ZoneServer secondServer = ZoneServer.start(group, second, receivedBySecond::add, this::admit);
    client.send(command(first));
    client.send(tokenCommand(second));
    ZoneRequestReceived request = received();
    TokenRequestsReceived tokens =
        (TokenRequestsReceived) receivedBySecond.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    firstServer.reply(new SendZoneReply(request.exchangeId(), fullReply()));
    assertThat(ended().reply()).contains(fullReply());
    secondServer.reply(new SendTokenReply(tokens.exchangeId(), tokenReply()));

    assertThat(((TokenRequestsEnded) endedRequests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).reply())
        .contains(tokenReply());
  }

  /** Guards against a request that never completes when no process listens at the address. */
  @Test
  void shouldReportThatTheRelayIsUnreachable() throws Exception {
    client.send(command(freeEndpoint()));

    assertThat(ended().reply()).isEmpty();
  }

  /** Guards against a request that never completes because the relay accepts and never replies. */
  @Test
  void shouldTimeOutWhenTheRelayDoesNotReply() throws Exception {
    SocketEndpoint endpoint = freeEndpoint();
    ZoneServer.start(group, endpoint, receivedRequests::add, this::admit);
    clientWithUsualTimeout.send(command(endpoint));

    assertThat(ended().reply()).isEmpty();
  }

  /** Guards against a late reply to a timed-out request being taken for that to a later one. */
  @Test
  void shouldIgnoreALateReply() throws Exception {
    SocketEndpoint endpoint = freeEndpoint();
    ZoneServer server = ZoneServer.start(group, endpoint, receivedRequests::add, this::admit);
    clientWithUsualTimeout.send(command(endpoint));
    ZoneRequestReceived first = received();
    assertThat(ended().reply()).isEmpty();
    clientWithUsualTimeout.send(command(endpoint));
    ZoneRequestReceived second = received();
    server.reply(new SendZoneReply(first.exchangeId(), fullReply()));
    server.reply(new SendZoneReply(second.exchangeId(), ZoneReply.notRelay()));

    assertThat(ended().reply()).contains(ZoneReply.notRelay());
  }
}

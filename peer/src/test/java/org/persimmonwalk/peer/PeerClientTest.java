package org.persimmonwalk.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.ConfigurationReply;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.PeerMessage;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.port.PeerMessenger.SendOutcome;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.Configurations;

/** Uses loopback connections; the timeout only stops a test that hangs. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class PeerClientTest {
  private static final EntryHostId SELF = EntryHostId.of("self");
  private static final EntryHostId PEER = EntryHostId.of("peer");

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
  private final Map<EntryHostId, SocketEndpoint> directory = new ConcurrentHashMap<>();
  private final PeerClient client =
      PeerClient.of(
          SELF,
          host -> Optional.ofNullable(directory.get(host)),
          group,
          PeerSettings.defaults(),
          PeerSecurity.plainText(),
          RandomSource.system());

  @AfterEach
  void stop() {
    client.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Guards against messages that are lost, changed or reordered between two hosts. */
  @Test
  void shouldDeliverMessagesInOrder() throws InterruptedException {
    try (PeerServer server = start(0)) {
      directory.put(PEER, server.endpoint());
      PeerMessage large =
          new ConfigurationReply(
              Configurations.of(1, 570, 2000), Optional.empty(), MonotonicTime.of(1));
      client.send(PEER, large);
      PeerMessages.all().forEach(message -> client.send(PEER, message));

      assertThat(received.take()).isEqualTo(large);
      for (PeerMessage message : PeerMessages.all()) {
        assertThat(received.take()).isEqualTo(message);
      }
    }
  }

  /** Guards against a client that does not reconnect to a restarted peer. */
  @Test
  void shouldReconnectAfterThePeerRestarts() throws InterruptedException {
    SocketEndpoint endpoint;
    EventLoopGroup firstGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (PeerServer server = start(0, firstGroup)) {
      endpoint = server.endpoint();
      directory.put(PEER, endpoint);
      client.send(PEER, PeerMessages.request(1));
      assertThat(received.take()).isEqualTo(PeerMessages.request(1));
    }
    // The port of a closed listener is free only after its event loop has selected once more.
    firstGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    client.send(PEER, PeerMessages.request(2));

    try (PeerServer server = start(endpoint.port())) {
      PeerMessage arrived = null;
      for (long number = 3; arrived == null; number++) {
        client.send(PEER, PeerMessages.request(number));
        arrived = received.poll(100, TimeUnit.MILLISECONDS);
      }
      assertThat(server.endpoint()).isEqualTo(endpoint);
    }
  }

  /** Guards against sends that never complete because the peer has no usable address. */
  @Test
  void shouldDropMessagesToUnknownHostsAndToHostNames() {
    assertThat(client.send(PEER, PeerMessages.request(1)).toCompletableFuture())
        .isCompletedWithValue(SendOutcome.DROPPED);

    directory.put(PEER, SocketEndpoint.of("localhost", 7432));
    assertThat(client.send(PEER, PeerMessages.request(1)).toCompletableFuture())
        .isCompletedWithValue(SendOutcome.DROPPED);
  }

  private PeerServer start(int port) {
    return start(port, group);
  }

  private PeerServer start(int port, EventLoopGroup serverGroup) {
    return PeerServer.start(
        PEER,
        SocketEndpoint.of("127.0.0.1", port),
        serverGroup,
        PeerSettings.defaults(),
        PeerSecurity.plainText(),
        (from, message) -> received.add(message));
  }
}

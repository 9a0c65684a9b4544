package org.persimmonwalk.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.internal.peer.PeerConnection;
import org.persimmonwalk.model.PeerMessage;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.port.PeerMessenger;
import org.persimmonwalk.port.RandomSource;

/**
 * Sends messages to peers over one connection to each. Safe for use by several threads.
 *
 * <p>Example:
 *
 * <pre>{@code
 * PeerClient client =
 *     PeerClient.of(
 *         self, directory, group, PeerSettings.defaults(), PeerSecurity.plainText(), random);
 * client.send(peer, message);
 * }</pre>
 */
public final class PeerClient implements PeerMessenger, AutoCloseable {
  /**
   * Limits of the bytes that one connection queues for writing. Above the higher one, messages wait
   * in the bounded buffer until the queue falls below the lower one.
   */
  private static final WriteBufferWaterMark WATER_MARK =
      new WriteBufferWaterMark(32 * 1024, 128 * 1024);

  private final Map<EntryHostId, PeerConnection> connections = new HashMap<>();
  private final EntryHostId self;
  private final PeerDirectory directory;
  private final Bootstrap template;
  private final PeerSettings settings;
  private final PeerSecurity security;
  private final RandomSource random;
  private boolean closed;

  private PeerClient(
      EntryHostId self,
      PeerDirectory directory,
      EventLoopGroup group,
      PeerSettings settings,
      PeerSecurity security,
      RandomSource random) {
    this.self = Objects.requireNonNull(self, "self");
    this.directory = Objects.requireNonNull(directory, "directory");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.security = Objects.requireNonNull(security, "security");
    this.random = Objects.requireNonNull(random, "random");
    this.template =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                Math.toIntExact(settings.connectTimeout().toMillis()));
  }

  /**
   * Returns a client without connections.
   *
   * @param self the host that sends
   * @param directory finds the endpoints of peers
   * @param group runs the connections; the caller closes it
   * @param settings limits of the connections
   * @param security secures the connections
   * @param random source of the jitter between connection attempts; used by several threads
   */
  public static PeerClient of(
      EntryHostId self,
      PeerDirectory directory,
      EventLoopGroup group,
      PeerSettings settings,
      PeerSecurity security,
      RandomSource random) {
    return new PeerClient(self, directory, group, settings, security, random);
  }

  @Override
  public CompletionStage<SendOutcome> send(EntryHostId to, PeerMessage message) {
    return connection(to)
        .map(connection -> connection.send(message))
        .orElseGet(() -> CompletableFuture.completedStage(SendOutcome.DROPPED));
  }

  /** Closes all connections and drops the queued messages. */
  @Override
  public synchronized void close() {
    closed = true;
    connections.values().forEach(PeerConnection::close);
    connections.clear();
  }

  private synchronized Optional<PeerConnection> connection(EntryHostId to) {
    Optional<InetSocketAddress> address = directory.endpointOf(to).flatMap(PeerClient::address);
    PeerConnection known = connections.get(to);
    if (known != null && address.filter(known.address()::equals).isEmpty()) {
      connections.remove(to).close();
      known = null;
    }
    if (known == null && address.isPresent() && !closed) {
      closeUnknown();
      known = PeerConnection.of(self, to, address.get(), template, settings, security, random);
      connections.put(to, known);
    }
    return Optional.ofNullable(known);
  }

  /** Closes the connections to hosts that are no longer in the directory. */
  private void closeUnknown() {
    connections
        .entrySet()
        .removeIf(
            entry -> {
              boolean unknown = directory.endpointOf(entry.getKey()).isEmpty();
              if (unknown) {
                entry.getValue().close();
              }
              return unknown;
            });
  }

  /** Accepts only IP addresses, so that no endpoint received from a peer causes a DNS lookup. */
  private static Optional<InetSocketAddress> address(SocketEndpoint endpoint) {
    InetAddress parsed = NetUtil.createInetAddressFromIpAddressString(endpoint.address());
    return Optional.ofNullable(parsed).map(ip -> new InetSocketAddress(ip, endpoint.port()));
  }
}

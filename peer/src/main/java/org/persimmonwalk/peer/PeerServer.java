package org.persimmonwalk.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.internal.peer.FaultReporter;
import org.persimmonwalk.internal.peer.InboundInitializer;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/** Accepts messages from peers. */
public final class PeerServer implements AutoCloseable {
  private final Channel listening;
  private final ChannelGroup accepted;

  private PeerServer(Channel listening, ChannelGroup accepted) {
    this.listening = listening;
    this.accepted = accepted;
  }

  /**
   * Starts to listen and waits until the port is open.
   *
   * @param self the host for which messages are meant
   * @param endpoint where to listen; port 0 stands for a free one
   * @param group runs the connections; the caller closes it
   * @param settings limits
   * @param security secures the connections
   * @param listener takes the messages, on the threads of the group
   * @throws PersimmonwalkException with {@link ResultCode#SETTING_INVALID} if the endpoint cannot
   *     be used
   */
  public static PeerServer start(
      EntryHostId self,
      SocketEndpoint endpoint,
      EventLoopGroup group,
      PeerSettings settings,
      PeerSecurity security,
      PeerMessageListener listener) {
    ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                InboundInitializer.of(
                    self, settings, security, accepted, listener, FaultReporter.logging()))
            .bind(endpoint.address(), endpoint.port())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw PersimmonwalkException.of(
          ResultCode.SETTING_INVALID,
          "cannot listen for peers on " + endpoint + "; check the address and the port",
          bound.cause());
    }
    return new PeerServer(bound.channel(), accepted);
  }

  /** Returns where the server listens. */
  public SocketEndpoint endpoint() {
    InetSocketAddress address = (InetSocketAddress) listening.localAddress();
    return SocketEndpoint.of(address.getAddress().getHostAddress(), address.getPort());
  }

  /** Stops listening and closes all connections. */
  @Override
  public void close() {
    listening.close().awaitUninterruptibly();
    accepted.close().awaitUninterruptibly();
  }
}

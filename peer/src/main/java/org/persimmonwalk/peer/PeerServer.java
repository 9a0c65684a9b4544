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

/** Accepts connections from peers and passes their messages to a listener. */
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
   * @param self this host; messages addressed to others are ignored
   * @param endpoint the endpoint to listen on; port 0 selects a free port
   * @param group runs the connections; the caller closes it
   * @param settings limits of the connections
   * @param security secures the connections
   * @param listener receives the messages, on the threads of the group
   * @throws PersimmonwalkException with {@link ResultCode#SETTING_INVALID} if the server cannot
   *     listen on the endpoint
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

  /** Returns the endpoint that the server listens on, with the actual port. */
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

package org.persimmonwalk.internal.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.group.ChannelGroup;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.peer.PeerMessageListener;
import org.persimmonwalk.peer.PeerSecurity;
import org.persimmonwalk.peer.PeerSettings;

/**
 * Sets up the connections that peers open. Connections above {@link
 * PeerSettings#inboundConnections()} are closed at once.
 */
public final class InboundInitializer extends ChannelInitializer<Channel> {
  private static final int LENGTH_BYTES = 4;

  private final AtomicInteger open = new AtomicInteger();
  private final EntryHostId self;
  private final PeerSettings settings;
  private final PeerSecurity security;
  private final ChannelGroup accepted;
  private final PeerMessageListener listener;
  private final FaultReporter reporter;

  private InboundInitializer(
      EntryHostId self,
      PeerSettings settings,
      PeerSecurity security,
      ChannelGroup accepted,
      PeerMessageListener listener,
      FaultReporter reporter) {
    this.self = self;
    this.settings = settings;
    this.security = security;
    this.accepted = accepted;
    this.listener = listener;
    this.reporter = reporter;
  }

  /** Returns the initializer for all connections accepted by one server. */
  public static InboundInitializer of(
      EntryHostId self,
      PeerSettings settings,
      PeerSecurity security,
      ChannelGroup accepted,
      PeerMessageListener listener,
      FaultReporter reporter) {
    return new InboundInitializer(self, settings, security, accepted, listener, reporter);
  }

  @Override
  protected void initChannel(Channel channel) {
    channel.closeFuture().addListener(closed -> open.decrementAndGet());
    if (open.incrementAndGet() > settings.inboundConnections()) {
      reporter.report(
          channel.remoteAddress(),
          "more than " + settings.inboundConnections() + " connections from peers are open");
      channel.close();
      return;
    }
    accepted.add(channel);
    security.accepting(channel.alloc()).ifPresent(channel.pipeline()::addLast);
    channel
        .pipeline()
        .addLast(
            new IdleStateHandler(settings.idleTimeout().toMillis(), 0, 0, TimeUnit.MILLISECONDS))
        .addLast(
            new LengthFieldBasedFrameDecoder(
                PeerSettings.FRAME_LIMIT + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(InboundHandler.of(self, listener, reporter));
  }
}

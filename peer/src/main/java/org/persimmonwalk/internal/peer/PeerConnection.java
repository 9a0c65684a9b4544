package org.persimmonwalk.internal.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.PeerMessage;
import org.persimmonwalk.peer.PeerCodec;
import org.persimmonwalk.peer.PeerEnvelope;
import org.persimmonwalk.peer.PeerSecurity;
import org.persimmonwalk.peer.PeerSettings;
import org.persimmonwalk.port.PeerMessenger.SendOutcome;
import org.persimmonwalk.port.RandomSource;
import org.tinylog.Logger;

/**
 * Sends messages to one peer over one connection. It connects when there is a message to send, and
 * retries with backoff after a failed or lost connection. Any thread may call {@link #send} and
 * {@link #close}; the rest runs on one event loop.
 */
public final class PeerConnection {
  private final AtomicBoolean drainScheduled = new AtomicBoolean();
  private final EntryHostId self;
  private final EntryHostId peer;
  private final InetSocketAddress address;
  private final Bootstrap bootstrap;
  private final EventLoop loop;
  private final OutgoingBuffer buffer;
  private final ReconnectBackoff backoff;
  private Optional<Channel> channel = Optional.empty();
  private boolean connecting;
  private volatile boolean closed;

  private PeerConnection(
      EntryHostId self,
      EntryHostId peer,
      InetSocketAddress address,
      Bootstrap template,
      PeerSettings settings,
      PeerSecurity security,
      RandomSource random) {
    this.self = self;
    this.peer = peer;
    this.address = address;
    this.loop = template.config().group().next();
    this.bootstrap = template.clone(loop).handler(initializer(settings, security));
    this.buffer = OutgoingBuffer.of(settings.bufferedMessages());
    this.backoff =
        ReconnectBackoff.of(settings.initialRetryDelay(), settings.maximumRetryDelay(), random);
  }

  /** Returns a connection that is opened when the first message is sent. */
  public static PeerConnection of(
      EntryHostId self,
      EntryHostId peer,
      InetSocketAddress address,
      Bootstrap template,
      PeerSettings settings,
      PeerSecurity security,
      RandomSource random) {
    return new PeerConnection(self, peer, address, template, settings, security, random);
  }

  /** Returns the address of the peer. */
  public InetSocketAddress address() {
    return address;
  }

  /** Queues a message, which is sent when the connection is open and writable. */
  public CompletionStage<SendOutcome> send(PeerMessage message) {
    CompletionStage<SendOutcome> outcome = buffer.add(message);
    if (drainScheduled.compareAndSet(false, true)) {
      loop.execute(
          () -> {
            drainScheduled.set(false);
            drainBuffer();
          });
    }
    return outcome;
  }

  /** Closes the connection and drops the queued messages. */
  public void close() {
    closed = true;
    loop.execute(this::drainBuffer);
  }

  /** Writes the queued messages, connecting first if needed; after close, drops them instead. */
  private void drainBuffer() {
    if (closed) {
      buffer.clear();
      channel.ifPresent(Channel::close);
    } else if (channel.isPresent()) {
      write(channel.get());
    } else if (!connecting && !buffer.isEmpty()) {
      connecting = true;
      bootstrap.connect(address).addListener((ChannelFuture attempt) -> connected(attempt));
    }
  }

  private void connected(ChannelFuture attempt) {
    if (!attempt.isSuccess()) {
      long delay = backoff.next().toMillis();
      Logger.debug("Cannot connect to peer {} at {}: {}", peer, address, attempt.cause());
      loop.schedule(this::retry, delay, TimeUnit.MILLISECONDS);
      return;
    }
    connecting = false;
    channel = Optional.of(attempt.channel());
    attempt.channel().closeFuture().addListener(ended -> disconnected());
    drainBuffer();
  }

  private void retry() {
    connecting = false;
    drainBuffer();
  }

  /** Delays the next attempt, because a peer may close every connection as soon as it is open. */
  private void disconnected() {
    channel = Optional.empty();
    connecting = true;
    loop.schedule(this::retry, backoff.next().toMillis(), TimeUnit.MILLISECONDS);
  }

  private void write(Channel open) {
    boolean written = false;
    while (open.isWritable()) {
      Optional<OutgoingBuffer.Entry> entry = buffer.poll();
      if (entry.isEmpty()) {
        break;
      }
      write(open, entry.get());
      written = true;
    }
    if (written) {
      open.flush();
    }
  }

  private void write(Channel open, OutgoingBuffer.Entry entry) {
    byte[] body = PeerCodec.encode(PeerEnvelope.of(self, peer, entry.message()));
    if (body.length > PeerSettings.FRAME_LIMIT) {
      Logger.error(
          "Dropping a message to peer {}: its {} bytes exceed the limit of {} bytes",
          peer,
          body.length,
          PeerSettings.FRAME_LIMIT);
      entry.drop();
      return;
    }
    ByteBuf prefix = Unpooled.buffer(Integer.BYTES).writeInt(body.length);
    open.write(Unpooled.wrappedBuffer(prefix, Unpooled.wrappedBuffer(body)))
        .addListener(
            done -> {
              if (done.isSuccess()) {
                backoff.reset();
                entry.outcome().complete(SendOutcome.SENT);
              } else {
                entry.drop();
              }
            });
  }

  private ChannelInitializer<Channel> initializer(PeerSettings settings, PeerSecurity security) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel opened) {
        security.connecting(opened.alloc()).ifPresent(opened.pipeline()::addLast);
        opened
            .pipeline()
            .addLast(
                new IdleStateHandler(
                    0, 0, settings.idleTimeout().toMillis(), TimeUnit.MILLISECONDS))
            .addLast(OutboundHandler.of(PeerConnection.this::drainBuffer, FaultReporter.logging()));
      }
    };
  }
}

package org.persimmonwalk.internal.traffic.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.wire.Frame;
import org.persimmonwalk.wire.MessageType;
import org.persimmonwalk.wire.Messages;
import org.tinylog.Logger;

/**
 * An open connection to a backend server, which runs one request at a time. A frame that belongs to
 * no request closes the connection, so that a late answer never reaches another caller.
 */
public final class BackendConnection extends SimpleChannelInboundHandler<Frame> {
  private static final String RESET = "DISCARD ALL";

  private final BackendServer server;
  private final BackendKey key;
  private final CloseListener closeListener;
  private Channel channel;
  private BackendExchange exchange;
  private SessionSettings settings = SessionSettings.of(this, List.of());
  private boolean closing;

  private BackendConnection(BackendServer server, BackendKey key, CloseListener closeListener) {
    super(false);
    this.server = server;
    this.key = key;
    this.closeListener = closeListener;
  }

  static BackendConnection of(BackendServer server, BackendKey key, CloseListener closeListener) {
    return new BackendConnection(server, key, closeListener);
  }

  /** Returns the server at the other end. */
  public BackendServer server() {
    return server;
  }

  /** Returns the key with which a statement on this connection is cancelled. */
  public BackendKey key() {
    return key;
  }

  /** Returns whether the connection can take a request. */
  public boolean isUsable() {
    return !closing && channel.isActive();
  }

  /**
   * Sends a request; the ownership of its frames passes to the connection.
   *
   * @param listener receives the answer on the event loop of this connection
   */
  public void exchange(ExchangePlan plan, ExchangeListener listener) {
    channel.eventLoop().execute(() -> startExchange(plan, listener));
  }

  private void startExchange(ExchangePlan plan, ExchangeListener listener) {
    if (exchange != null || !isUsable()) {
      plan.frames().forEach(ReferenceCountUtil::release);
      listener.onLost(exchange == null ? "the connection is closed" : "the connection is in use");
      return;
    }
    Messages messages = Messages.of(channel.alloc());
    int settingsAnswers = plan.settings().map(wanted -> apply(wanted, messages)).orElse(0);
    exchange = BackendExchange.of(listener, settingsAnswers, plan);
    plan.guards().forEach(statement -> channel.write(messages.query(statement)));
    plan.frames().forEach(channel::write);
    if (plan.commits()) {
      channel.write(messages.query("COMMIT"));
    }
    if (plan.queriesPosition()) {
      channel.write(messages.query(SampleRow.QUERY));
    }
    channel.flush();
  }

  private int apply(SessionSettings wanted, Messages messages) {
    if (wanted.isSameAs(settings)) {
      return 0;
    }
    settings = wanted;
    channel.write(messages.query(RESET));
    wanted.statements().forEach(statement -> channel.write(messages.query(statement)));
    return 1 + wanted.statements().size();
  }

  /** Stops or resumes reading, so that a slow caller does not fill this host's memory. */
  public void setReading(boolean reading) {
    channel.config().setAutoRead(reading);
  }

  /** Closes the connection; a running request ends with {@link ExchangeListener#onLost}. */
  public void close() {
    closing = true;
    channel.close();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    if (frame.is(MessageType.PARAMETER_STATUS) || frame.is(MessageType.NOTICE_RESPONSE)) {
      frame.release();
      return;
    }
    if (exchange == null) {
      frame.release();
      if (!closing) {
        Logger.warn(
            "closing a connection to backend server {}: it sent a message without a request",
            server.id());
        close();
      }
      return;
    }
    exchange.accept(frame);
    if (exchange.settingsFailed()) {
      close();
    } else if (exchange.isDone()) {
      exchange = null;
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (exchange != null) {
      exchange.readComplete();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    handleClose("the backend server closed the connection");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    Logger.warn("connection to backend server {} failed: {}", server.id(), cause.getMessage());
    context.close();
  }

  private void handleClose(String reason) {
    closing = true;
    closeListener.onClosed(this);
    BackendExchange lost = exchange;
    exchange = null;
    if (lost != null) {
      lost.lost(reason);
    }
  }

  /** Receives the connections that have closed. */
  interface CloseListener {
    /** The connection has closed and cannot be used again. */
    void onClosed(BackendConnection connection);
  }
}

package org.persimmonwalk.internal.standin.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.persimmonwalk.internal.standin.engine.Session;
import org.persimmonwalk.internal.standin.engine.Statement;
import org.persimmonwalk.internal.standin.engine.StatementTask;
import org.persimmonwalk.wire.ErrorFields;
import org.persimmonwalk.wire.Frame;
import org.persimmonwalk.wire.FrameDecoder;
import org.persimmonwalk.wire.MessageType;
import org.persimmonwalk.wire.Messages;
import org.persimmonwalk.wire.PayloadReader;
import org.persimmonwalk.wire.StartupRequest;
import org.persimmonwalk.wire.TransactionStatus;

/**
 * One connection of a caller to a stand-in server, used on its event loop. It handles start-up and
 * log-in itself and passes later messages to a {@link SessionProtocol}. While the server is paused
 * or isolated from the caller, received messages wait in {@code unhandled} and answers in {@code
 * unsent}.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter
    implements SessionProtocol.Connection {
  private static final int MAXIMUM_QUEUED_FRAMES = 256;
  private static final Map<String, String> REPORTED_PARAMETERS =
      Map.of(
          "server_version", "16.0",
          "server_encoding", "UTF8",
          "client_encoding", "UTF8",
          "DateStyle", "ISO, MDY",
          "TimeZone", "UTC",
          "integer_datetimes", "on",
          "standard_conforming_strings", "on");

  private final ServerFrontEnd server;
  private final int processId;
  private final int secret;
  private final Deque<Frame> unhandled = new ArrayDeque<>();
  private final Deque<Frame> unsent = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private Messages messages;
  private volatile Map<String, String> parameters;
  private volatile Session session;
  private SessionProtocol protocol;
  private boolean countedAsOpen;
  private boolean suspended;
  private boolean closing;

  private BackendConnection(ServerFrontEnd server, int processId, int secret) {
    this.server = server;
    this.processId = processId;
    this.secret = secret;
  }

  static BackendConnection of(ServerFrontEnd server, int processId, int secret) {
    return new BackendConnection(server, processId, secret);
  }

  boolean hasCancelKey(int otherProcessId, int otherSecret) {
    return processId == otherProcessId && secret == otherSecret;
  }

  Session session() {
    return session;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
    messages = Messages.of(added.alloc());
  }

  @Override
  public void channelRead(ChannelHandlerContext reading, Object message) {
    unhandled.add((Frame) message);
    if (unhandled.size() >= MAXIMUM_QUEUED_FRAMES) {
      context.channel().config().setAutoRead(false);
    }
    handleReceived();
  }

  @Override
  public void channelInactive(ChannelHandlerContext inactive) {
    closing = true;
    unhandled.forEach(Frame::release);
    unhandled.clear();
    unsent.forEach(Frame::release);
    unsent.clear();
    server.connectionClosed(this, countedAsOpen);
    if (session != null) {
      server.onEngineThread(() -> server.queue().close(session));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
    failed.close();
  }

  /** Sends and handles what was held back, unless the server's faults still hold it back. */
  void onFaultsChanged() {
    onEventLoop(
        () -> {
          if (!stalled()) {
            while (!unsent.isEmpty()) {
              context.write(unsent.remove());
            }
            context.flush();
            handleReceived();
          }
        });
  }

  /** Sends the error of an administrator's command (57P01), then closes the connection. */
  void terminate() {
    onEventLoop(
        () -> {
          send(
              messages.error(
                  ErrorFields.fatal(
                      "57P01", "terminating connection due to administrator command")));
          close();
        });
  }

  /** Closes the connection without an error message. */
  void closeAbruptly() {
    context.close();
  }

  private boolean stalled() {
    return server.isStalled(parameters);
  }

  private void handleReceived() {
    while (!suspended && !closing && !unhandled.isEmpty() && !stalled()) {
      Frame frame = unhandled.remove();
      try {
        handle(frame);
      } finally {
        frame.release();
      }
    }
    if (unhandled.isEmpty() && !closing && !context.channel().config().isAutoRead()) {
      context.channel().config().setAutoRead(true);
    }
  }

  private void handle(Frame frame) {
    if (frame.is(MessageType.STARTUP)) {
      start(StartupRequest.parse(frame));
    } else if (protocol != null) {
      protocol.handle(ClientMessage.parse(frame));
    } else if (frame.is(MessageType.PASSWORD)) {
      server.counters().recordPassword(PayloadReader.of(frame).readString());
      logIn();
    } else {
      refuse("08P01", "expected a password message");
    }
  }

  private void start(StartupRequest request) {
    if (request instanceof StartupRequest.Start start) {
      parameters = start.parameters();
      server.counters().recordStartup(parameters);
      context.pipeline().get(FrameDecoder.class).endStartup();
      send(messages.authenticationCleartext());
      flush();
    } else if (request instanceof StartupRequest.Cancel cancel) {
      server.cancel(cancel.processId(), cancel.secret());
      context.close();
    } else {
      context.writeAndFlush(context.alloc().buffer(1).writeByte('N'));
    }
  }

  private void logIn() {
    countedAsOpen = server.tryCountConnection();
    if (!countedAsOpen) {
      refuse("53300", "sorry, too many clients already");
      return;
    }
    suspend();
    server.afterConnectDelay(
        () -> {
          Session opened = server.open(parameters);
          onEventLoop(() -> completeLogIn(opened));
        });
  }

  private void completeLogIn(Session opened) {
    session = opened;
    if (closing) {
      server.onEngineThread(() -> server.queue().close(opened));
      return;
    }
    protocol = SessionProtocol.create(this, opened, context.alloc());
    send(messages.authenticationOk());
    REPORTED_PARAMETERS.forEach((name, value) -> send(messages.parameterStatus(name, value)));
    send(messages.backendKeyData(processId, secret));
    send(messages.readyForQuery(TransactionStatus.IDLE));
    flush();
    resume();
  }

  private void refuse(String sqlState, String text) {
    send(messages.error(ErrorFields.fatal(sqlState, text)));
    close();
  }

  @Override
  public void send(Frame frame) {
    if (closing) {
      frame.release();
    } else if (stalled()) {
      unsent.add(frame);
    } else {
      context.write(frame);
    }
  }

  @Override
  public void flush() {
    context.flush();
  }

  @Override
  public void sendTruncated(List<Frame> frames) {
    ByteBuf bytes = context.alloc().buffer();
    for (Frame frame : frames) {
      bytes.writeByte(frame.type());
      bytes.writeInt(frame.content().readableBytes() + Integer.BYTES);
      bytes.writeBytes(frame.content());
      frame.release();
    }
    context.write(bytes.readRetainedSlice(bytes.readableBytes() / 2));
    bytes.release();
    close();
  }

  @Override
  public void close() {
    if (!closing) {
      closing = true;
      context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void suspend() {
    suspended = true;
  }

  @Override
  public void resume() {
    suspended = false;
    handleReceived();
  }

  @Override
  public void onEngineThread(Runnable action) {
    server.onEngineThread(action);
  }

  @Override
  public void onEventLoop(Runnable action) {
    if (!context.executor().isShuttingDown()) {
      context.executor().execute(action);
    }
  }

  @Override
  public void submit(StatementTask task) {
    server.submit(task, parameters.getOrDefault("user", ""));
  }

  @Override
  public List<String> columns(Statement statement) {
    return server.engine().columns(session, statement);
  }

  @Override
  public void failTransaction() {
    server.engine().failTransaction(session);
  }
}

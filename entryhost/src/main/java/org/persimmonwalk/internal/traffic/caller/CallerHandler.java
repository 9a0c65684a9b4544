package org.persimmonwalk.internal.traffic.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.ssl.NotSslRecordException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLException;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.internal.traffic.backend.BackendKey;
import org.persimmonwalk.model.HostPhase;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.routing.StatementKind;
import org.persimmonwalk.wire.Frame;
import org.persimmonwalk.wire.FrameDecoder;
import org.persimmonwalk.wire.MessageType;
import org.persimmonwalk.wire.Messages;
import org.persimmonwalk.wire.PayloadReader;
import org.persimmonwalk.wire.ProtocolException;
import org.persimmonwalk.wire.StartupRequest;
import org.persimmonwalk.wire.TransactionStatus;
import org.tinylog.Logger;

/**
 * Handles the start-up and login of one caller connection, then passes its messages to a {@link
 * CallerSession}.
 */
final class CallerHandler extends SimpleChannelInboundHandler<Frame> {
  private static final Map<String, String> REPORTED_PARAMETERS = reportedParameters();

  private final TrafficContext context;
  private final CallerRegistry registry;
  private final FrameDecoder decoder;
  private final TlsNegotiation negotiation;
  private Optional<StartupParameters> startup = Optional.empty();
  private Optional<CallerSession> session = Optional.empty();
  private Optional<BackendKey> cancelKey = Optional.empty();
  private boolean failed;

  private CallerHandler(
      TrafficContext context,
      CallerRegistry registry,
      FrameDecoder decoder,
      CallerSecurity security) {
    super(false);
    this.context = context;
    this.registry = registry;
    this.decoder = decoder;
    this.negotiation = TlsNegotiation.of(security, decoder);
  }

  static CallerHandler of(
      TrafficContext context,
      CallerRegistry registry,
      FrameDecoder decoder,
      CallerSecurity security) {
    return new CallerHandler(context, registry, decoder, security);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext channelContext, Frame frame) {
    if (session.isPresent()) {
      session.get().accept(frame);
      return;
    }
    try {
      if (failed) {
        return;
      }
      if (frame.is(MessageType.STARTUP)) {
        handleStartup(channelContext, StartupRequest.parse(frame));
      } else if (frame.is(MessageType.PASSWORD) && startup.isPresent()) {
        KeyHash key = KeyHash.ofKey(PayloadReader.of(frame).readString());
        logIn(channelContext, Optional.of(key));
      } else {
        fail(
            channelContext,
            ResultCode.MALFORMED_MESSAGE,
            "the start-up message must be followed by a password message");
      }
    } catch (ProtocolException e) {
      fail(channelContext, ResultCode.MALFORMED_MESSAGE, e.getMessage());
    } catch (PersimmonwalkException e) {
      fail(channelContext, e.code(), e.getMessage());
    } finally {
      frame.release();
    }
  }

  private void handleStartup(ChannelHandlerContext channelContext, StartupRequest request) {
    if (request instanceof StartupRequest.Start start) {
      decoder.endStartup();
      if (!negotiation.allowsLogin(channelContext.channel())) {
        fail(channelContext, ResultCode.TLS_REQUIRED, "");
        return;
      }
      startup = Optional.of(StartupParameters.of(start.parameters()));
      authenticate(channelContext);
    } else if (request instanceof StartupRequest.Cancel cancel) {
      registry.cancel(BackendKey.of(cancel.processId(), cancel.secret()));
      channelContext.close();
    } else if (request instanceof StartupRequest.Tls) {
      negotiation.startTls(channelContext.channel());
    } else {
      negotiation.refuse(channelContext.channel());
    }
  }

  private void authenticate(ChannelHandlerContext channelContext) {
    boolean open =
        context
            .control()
            .snapshot()
            .get(Entries.CONFIGURATION)
            .workspace(startup.get().workspace())
            .filter(Workspace::open)
            .isPresent();
    if (open) {
      logIn(channelContext, Optional.empty());
    } else {
      channelContext.writeAndFlush(Messages.of(channelContext.alloc()).authenticationCleartext());
    }
  }

  private void logIn(ChannelHandlerContext channelContext, Optional<KeyHash> key) {
    CallerState state =
        CallerState.of(
            startup.get().workspace(),
            key,
            startup.get().group(),
            startup.get().hostParameters(context.clock().now()));
    Optional<ResultCode> refusal = verify(state);
    if (refusal.isPresent()) {
      fail(channelContext, refusal.get(), "");
      return;
    }
    CallerSession opened = CallerSession.of(context, channelContext.channel(), state);
    cancelKey = registry.add(opened);
    if (cancelKey.isEmpty()) {
      fail(channelContext, ResultCode.TOO_MANY_CONNECTIONS, "");
      return;
    }
    session = Optional.of(opened);
    completeLogin(channelContext, cancelKey.get());
  }

  private Optional<ResultCode> verify(CallerState state) {
    var snapshot = context.control().snapshot();
    HostPhase phase = snapshot.get(Entries.HOST_PHASE);
    if (phase != HostPhase.SERVING) {
      return Optional.of(phase == HostPhase.STARTING ? ResultCode.NOT_READY : ResultCode.STOPPING);
    }
    MonotonicTime now = context.clock().now();
    return context.planner().verify(snapshot, state.request(StatementKind.READ, now, now), now);
  }

  private static void completeLogin(ChannelHandlerContext channelContext, BackendKey key) {
    Messages messages = Messages.of(channelContext.alloc());
    channelContext.write(messages.authenticationOk());
    REPORTED_PARAMETERS.forEach(
        (name, value) -> channelContext.write(messages.parameterStatus(name, value)));
    channelContext.write(messages.backendKeyData(key.processId(), key.secret()));
    channelContext.writeAndFlush(messages.readyForQuery(TransactionStatus.IDLE));
  }

  private void fail(ChannelHandlerContext channelContext, ResultCode code, String detail) {
    failed = true;
    CallerWriter.of(channelContext.channel()).fatal(code, detail);
  }

  @Override
  public void channelActive(ChannelHandlerContext channelContext) {
    scheduleProgressCheck(channelContext, -1);
  }

  /**
   * Closes a connection that waits for a login or for the rest of a message and has completed no
   * message since the last check. Otherwise callers that stop in the middle of a message would hold
   * memory forever.
   */
  private void scheduleProgressCheck(ChannelHandlerContext channelContext, long previousMessages) {
    long delay = context.settings().messageTimeout().toNanos();
    channelContext
        .executor()
        .schedule(
            () -> {
              if (!channelContext.channel().isActive()) {
                return;
              }
              boolean incomplete = session.isEmpty() || decoder.hasPartialMessage();
              if (incomplete && decoder.messages() == previousMessages) {
                fail(channelContext, ResultCode.IDLE_TIMEOUT, "");
              } else {
                scheduleProgressCheck(channelContext, incomplete ? decoder.messages() : -1);
              }
            },
            delay,
            TimeUnit.NANOSECONDS);
  }

  @Override
  public void channelInactive(ChannelHandlerContext channelContext) {
    session.ifPresent(CallerSession::close);
    cancelKey.ifPresent(registry::remove);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext channelContext) {
    boolean writable = channelContext.channel().isWritable();
    session.ifPresent(open -> open.setWritable(writable));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
    if (cause instanceof SSLException || cause.getCause() instanceof SSLException) {
      closeAfterTlsFailure(channelContext, cause);
    } else if (cause instanceof TooLongFrameException) {
      fail(channelContext, ResultCode.MESSAGE_TOO_LARGE, cause.getMessage());
    } else if (cause instanceof CorruptedFrameException) {
      fail(channelContext, ResultCode.MALFORMED_MESSAGE, cause.getMessage());
    } else if (cause instanceof DecoderException || cause instanceof RuntimeException) {
      Logger.error(
          cause,
          "closing the connection of caller {}: its message could not be handled",
          channelContext.channel().remoteAddress());
      fail(channelContext, ResultCode.INTERNAL_ERROR, "");
    } else {
      Logger.debug(
          "connection of caller {} failed: {}",
          channelContext.channel().remoteAddress(),
          cause.getMessage());
      channelContext.close();
    }
  }

  /**
   * Logs why TLS failed and closes the connection. The message of a {@link NotSslRecordException}
   * is not logged: it repeats the received bytes, which may contain a caller key.
   */
  private static void closeAfterTlsFailure(ChannelHandlerContext channelContext, Throwable cause) {
    boolean plainText =
        cause instanceof NotSslRecordException || cause.getCause() instanceof NotSslRecordException;
    Logger.warn(
        "closing the connection of caller {}: {}",
        channelContext.channel().remoteAddress(),
        plainText ? "it sent plain text instead of TLS" : "TLS failed: " + cause.getMessage());
    channelContext.close();
  }

  private static Map<String, String> reportedParameters() {
    Map<String, String> parameters = new LinkedHashMap<>();
    parameters.put("server_version", "15.0");
    parameters.put("server_encoding", "UTF8");
    parameters.put("client_encoding", "UTF8");
    parameters.put("DateStyle", "ISO, MDY");
    parameters.put("TimeZone", "UTC");
    parameters.put("integer_datetimes", "on");
    parameters.put("standard_conforming_strings", "on");
    return Map.copyOf(parameters);
  }
}

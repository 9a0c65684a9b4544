package org.persimmonwalk.internal.traffic.backend;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.wire.ErrorFields;
import org.persimmonwalk.wire.Frame;
import org.persimmonwalk.wire.MessageType;
import org.persimmonwalk.wire.Messages;
import org.persimmonwalk.wire.PayloadReader;

/** Logs in to a backend server with the host's own account. */
final class BackendLogin extends SimpleChannelInboundHandler<Frame> {
  private static final int AUTHENTICATION_OK = 0;
  private static final int AUTHENTICATION_CLEARTEXT = 3;

  private final String user;
  private final String password;
  private final String database;
  private final CompletableFuture<BackendKey> result;
  private BackendKey key = BackendKey.NONE;

  private BackendLogin(
      String user, String password, String database, CompletableFuture<BackendKey> result) {
    this.user = user;
    this.password = password;
    this.database = database;
    this.result = result;
  }

  static BackendLogin of(
      String user, String password, String database, CompletableFuture<BackendKey> result) {
    return new BackendLogin(user, password, database, result);
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    Map<String, String> parameters = new LinkedHashMap<>();
    parameters.put("user", user);
    parameters.put("database", database);
    parameters.put("client_encoding", "UTF8");
    context.writeAndFlush(messages(context).startup(parameters));
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    switch (frame.type()) {
      case MessageType.AUTHENTICATION -> answerAuthentication(context, frame);
      case MessageType.BACKEND_KEY_DATA -> key = readKey(frame);
      case MessageType.READY_FOR_QUERY -> result.complete(key);
      case MessageType.ERROR_RESPONSE -> fail(context, ErrorFields.parse(frame).message());
      default -> {
        // Parameter statuses and notices are not used.
      }
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail(context, "the server closed the connection during login");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail(context, cause.getMessage());
  }

  private void answerAuthentication(ChannelHandlerContext context, Frame frame) {
    int method = PayloadReader.of(frame).readInt();
    if (method == AUTHENTICATION_CLEARTEXT) {
      context.writeAndFlush(messages(context).password(password));
    } else if (method != AUTHENTICATION_OK) {
      fail(
          context,
          "the server requires authentication method "
              + method
              + "; supported is 3 (cleartext password)");
    }
  }

  private void fail(ChannelHandlerContext context, String reason) {
    result.completeExceptionally(
        PersimmonwalkException.of(ResultCode.NO_CONNECTION, "login failed: " + reason));
    context.close();
  }

  private static BackendKey readKey(Frame frame) {
    PayloadReader reader = PayloadReader.of(frame);
    return BackendKey.of(reader.readInt(), reader.readInt());
  }

  private static Messages messages(ChannelHandlerContext context) {
    return Messages.of(context.alloc());
  }
}

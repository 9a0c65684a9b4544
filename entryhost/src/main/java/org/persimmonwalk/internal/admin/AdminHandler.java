package org.persimmonwalk.internal.admin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.ReadTimeoutException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.persimmonwalk.result.ResultCode;
import org.tinylog.Logger;

/** Maps HTTP requests to {@link AdminRequest} and answers to HTTP. */
final class AdminHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final int BAD_REQUEST = 400;
  private static final int LINGER_SECONDS = 2;

  private final AdminRouter router;

  private AdminHandler(AdminRouter router) {
    this.router = router;
  }

  static AdminHandler of(AdminRouter router) {
    return new AdminHandler(router);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (request.decoderResult().isFailure()) {
      write(context, malformed(request.decoderResult().cause()), false);
      return;
    }
    String uri = request.uri();
    int query = uri.indexOf('?');
    AdminAnswer answer =
        router.answer(
            new AdminRequest(
                request.method().name(),
                query < 0 ? uri : uri.substring(0, query),
                ((InetSocketAddress) context.channel().remoteAddress()).getAddress(),
                Optional.ofNullable(request.headers().get(HttpHeaderNames.AUTHORIZATION))));
    write(context, answer, HttpUtil.isKeepAlive(request));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof ReadTimeoutException)) {
      Logger.debug(cause, "a connection to the administration interface failed");
    }
    context.close();
  }

  static void write(ChannelHandlerContext context, AdminAnswer answer, boolean keepAlive) {
    ByteBuf body =
        Unpooled.copiedBuffer(answer.body().toPrettyString() + "\n", StandardCharsets.UTF_8);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()), body);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json; charset=utf-8");
    response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_STORE);
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    HttpUtil.setKeepAlive(response, keepAlive);
    ChannelFuture written = context.writeAndFlush(response);
    if (!keepAlive) {
      written.addListener(done -> closeGently(context));
    }
  }

  /**
   * Ends the answer and discards what still arrives for a while. Closing at once would reset the
   * connection while the peer still sends, and the peer might never see the answer.
   */
  private static void closeGently(ChannelHandlerContext context) {
    if (context.channel() instanceof SocketChannel channel && channel.isActive()) {
      channel.shutdownOutput();
      context.executor().schedule(() -> channel.close(), LINGER_SECONDS, TimeUnit.SECONDS);
    } else {
      context.close();
    }
  }

  private static AdminAnswer malformed(Throwable cause) {
    if (cause instanceof TooLongHttpLineException || cause instanceof TooLongHttpHeaderException) {
      return AdminAggregator.tooLarge("the request line or the headers are too long");
    }
    return AdminAnswer.error(
        BAD_REQUEST, ResultCode.MALFORMED_MESSAGE, "the request is not valid HTTP; check it");
  }
}

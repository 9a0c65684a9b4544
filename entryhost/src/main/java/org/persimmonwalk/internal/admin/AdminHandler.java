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

/** Converts HTTP requests to {@link AdminRequest} and each {@link AdminResponse} to HTTP. */
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
      write(context, malformedRequest(request.decoderResult().cause()), false);
      return;
    }
    String uri = request.uri();
    int query = uri.indexOf('?');
    AdminResponse response =
        router.route(
            new AdminRequest(
                request.method().name(),
                query < 0 ? uri : uri.substring(0, query),
                ((InetSocketAddress) context.channel().remoteAddress()).getAddress(),
                Optional.ofNullable(request.headers().get(HttpHeaderNames.AUTHORIZATION))));
    write(context, response, HttpUtil.isKeepAlive(request));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof ReadTimeoutException)) {
      Logger.debug(cause, "a connection to the administration interface failed");
    }
    context.close();
  }

  static void write(ChannelHandlerContext context, AdminResponse response, boolean keepAlive) {
    ByteBuf body =
        Unpooled.copiedBuffer(response.body().toPrettyString() + "\n", StandardCharsets.UTF_8);
    FullHttpResponse httpResponse =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status()), body);
    httpResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json; charset=utf-8");
    httpResponse.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_STORE);
    httpResponse.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    HttpUtil.setKeepAlive(httpResponse, keepAlive);
    ChannelFuture written = context.writeAndFlush(httpResponse);
    if (!keepAlive) {
      written.addListener(done -> closeAfterLinger(context));
    }
  }

  /**
   * Closes the sending side and discards incoming data for a few seconds before closing the
   * connection. Closing at once would reset the connection while the client is still sending, and
   * the client might never receive the response.
   */
  private static void closeAfterLinger(ChannelHandlerContext context) {
    if (context.channel() instanceof SocketChannel channel && channel.isActive()) {
      channel.shutdownOutput();
      context.executor().schedule(() -> channel.close(), LINGER_SECONDS, TimeUnit.SECONDS);
    } else {
      context.close();
    }
  }

  private static AdminResponse malformedRequest(Throwable cause) {
    if (cause instanceof TooLongHttpLineException || cause instanceof TooLongHttpHeaderException) {
      return AdminRequestAggregator.tooLarge("the request line or the headers are too long");
    }
    return AdminResponse.error(
        BAD_REQUEST,
        ResultCode.MALFORMED_MESSAGE,
        "the request is not valid HTTP; check the request line and the headers");
  }
}

package org.persimmonwalk.internal.admin;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import org.persimmonwalk.result.ResultCode;

/** Aggregates the parts of an HTTP request and rejects a body that is larger than the limit. */
final class AdminRequestAggregator extends HttpObjectAggregator {
  private static final int REQUEST_ENTITY_TOO_LARGE = 413;

  private final int limit;

  private AdminRequestAggregator(int limit) {
    super(limit);
    this.limit = limit;
  }

  static AdminRequestAggregator of(int limit) {
    return new AdminRequestAggregator(limit);
  }

  @Override
  protected Object newContinueResponse(
      HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
    boolean tooLarge = HttpUtil.getContentLength(start, -1L) > maxContentLength;
    return tooLarge ? null : super.newContinueResponse(start, maxContentLength, pipeline);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    AdminHandler.write(
        context, tooLarge("the request body is larger than " + limit + " bytes"), false);
  }

  /** Returns the response to a request of which a part is larger than its limit. */
  static AdminResponse tooLarge(String reason) {
    return AdminResponse.error(
        REQUEST_ENTITY_TOO_LARGE,
        ResultCode.REQUEST_TOO_LARGE,
        reason + "; send a smaller request");
  }
}

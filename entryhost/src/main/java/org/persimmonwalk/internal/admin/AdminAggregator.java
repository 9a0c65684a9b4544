package org.persimmonwalk.internal.admin;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import org.persimmonwalk.result.ResultCode;

/** Collects a request and refuses one whose body is larger than the limit. */
final class AdminAggregator extends HttpObjectAggregator {
  private static final int REQUEST_ENTITY_TOO_LARGE = 413;

  private final int limit;

  private AdminAggregator(int limit) {
    super(limit);
    this.limit = limit;
  }

  static AdminAggregator of(int limit) {
    return new AdminAggregator(limit);
  }

  @Override
  protected Object newContinueResponse(
      HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
    boolean tooLarge = HttpUtil.getContentLength(start, -1L) > maxContentLength;
    return tooLarge ? null : super.newContinueResponse(start, maxContentLength, pipeline);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    AdminHandler.write(context, tooLarge("the body has more than " + limit + " bytes"), false);
  }

  /** Returns the refusal of a request with a part that is larger than its limit. */
  static AdminAnswer tooLarge(String reason) {
    return AdminAnswer.error(
        REQUEST_ENTITY_TOO_LARGE,
        ResultCode.REQUEST_TOO_LARGE,
        reason + "; send a smaller request");
  }
}

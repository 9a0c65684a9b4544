package org.persimmonwalk.internal.standin.platform;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Handles the HTTP requests of one connection. Requests are parsed on the connection's event loop
 * and carried out on the state thread.
 */
public final class PlatformHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final String ZONE_HEADER = "X-Availability-Zone";
  private static final byte[] NO_BODY = {};

  private final PlatformState state;
  private final PlatformFaults faults;
  private final PlatformCounterRecorder counters;
  private final ScheduledExecutorService stateThread;
  private final PlatformJson json = PlatformJson.create();

  private PlatformHandler(
      PlatformState state,
      PlatformFaults faults,
      PlatformCounterRecorder counters,
      ScheduledExecutorService stateThread) {
    this.state = state;
    this.faults = faults;
    this.counters = counters;
    this.stateThread = stateThread;
  }

  /** Returns a handler that reads and changes the state only on the given thread. */
  public static PlatformHandler of(
      PlatformState state,
      PlatformFaults faults,
      PlatformCounterRecorder counters,
      ScheduledExecutorService stateThread) {
    return new PlatformHandler(state, faults, counters, stateThread);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    String zone = request.headers().get(ZONE_HEADER, "");
    PlatformFaults.Treatment treatment = faults.treatment(zone);
    Duration requestDelay = faults.requestDelay();
    counters.recordRequest(zone);
    switch (treatment) {
      case REFUSE -> send(context, HttpResponseStatus.SERVICE_UNAVAILABLE, NO_BODY);
      case SERVE -> serve(context, request, requestDelay);
      default -> {
        // As during a network partition, there is no answer and the connection stays open.
      }
    }
  }

  private void serve(
      ChannelHandlerContext context, FullHttpRequest request, Duration requestDelay) {
    byte[] body = ByteBufUtil.getBytes(request.content());
    Optional<PlatformRequest> parsed;
    try {
      parsed = json.request(request.method().name(), path(request.uri()), body);
    } catch (IOException | IllegalArgumentException invalid) {
      send(context, HttpResponseStatus.BAD_REQUEST, NO_BODY);
      return;
    }
    if (parsed.isEmpty()) {
      send(context, HttpResponseStatus.NOT_FOUND, NO_BODY);
      return;
    }
    Runnable action = () -> carryOut(context, parsed.get());
    stateThread.schedule(action, requestDelay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void carryOut(ChannelHandlerContext context, PlatformRequest request) {
    PlatformAnswer answer = state.apply(request);
    counters.recordOutcome(request, answer);
    if (request.isWrite() && faults.consumeAnswerLoss()) {
      counters.recordLostAnswer();
      context.close();
      return;
    }
    send(context, status(answer), json.body(answer));
  }

  private static HttpResponseStatus status(PlatformAnswer answer) {
    if (answer instanceof PlatformAnswer.Absent) {
      return HttpResponseStatus.NOT_FOUND;
    }
    return answer instanceof PlatformAnswer.Conflict
        ? HttpResponseStatus.CONFLICT
        : HttpResponseStatus.OK;
  }

  private static void send(ChannelHandlerContext context, HttpResponseStatus status, byte[] body) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    context.writeAndFlush(response);
  }

  private static List<String> path(String uri) {
    List<String> segments = new ArrayList<>();
    for (String segment : new QueryStringDecoder(uri).rawPath().substring(1).split("/", -1)) {
      segments.add(QueryStringDecoder.decodeComponent(segment.replace("+", "%2B")));
    }
    return segments;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}

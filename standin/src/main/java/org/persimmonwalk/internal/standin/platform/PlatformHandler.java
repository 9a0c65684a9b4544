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

/** Serves the requests of one connection. */
public final class PlatformHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final String ZONE_HEADER = "X-Availability-Zone";
  private static final byte[] NO_BODY = {};

  private final PlatformState state;
  private final PlatformSwitches switches;
  private final PlatformCounterBook counters;
  private final ScheduledExecutorService stateThread;
  private final PlatformJson json = PlatformJson.create();

  private PlatformHandler(
      PlatformState state,
      PlatformSwitches switches,
      PlatformCounterBook counters,
      ScheduledExecutorService stateThread) {
    this.state = state;
    this.switches = switches;
    this.counters = counters;
    this.stateThread = stateThread;
  }

  /** Returns a handler that uses the state on the given thread only. */
  public static PlatformHandler of(
      PlatformState state,
      PlatformSwitches switches,
      PlatformCounterBook counters,
      ScheduledExecutorService stateThread) {
    return new PlatformHandler(state, switches, counters, stateThread);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    String zone = request.headers().get(ZONE_HEADER, "");
    PlatformSwitches.Treatment treatment = switches.treatment(zone);
    Duration slowness = switches.slowness();
    counters.arrived(zone);
    switch (treatment) {
      case REFUSE -> send(context, HttpResponseStatus.SERVICE_UNAVAILABLE, NO_BODY);
      case SERVE -> serve(context, request, slowness);
      default -> {
        // A caller behind a partition gets neither an answer nor the end of its connection.
      }
    }
  }

  private void serve(ChannelHandlerContext context, FullHttpRequest request, Duration slowness) {
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
    stateThread.schedule(action, slowness.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void carryOut(ChannelHandlerContext context, PlatformRequest request) {
    PlatformAnswer answer = state.apply(request);
    counters.carriedOut(request, answer);
    if (request.isWrite() && switches.takeLostAnswer()) {
      counters.answerLost();
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

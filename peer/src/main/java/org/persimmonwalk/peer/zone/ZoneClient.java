package org.persimmonwalk.peer.zone;

import com.google.protobuf.MessageLite;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.SendTokenRequests;
import org.persimmonwalk.engine.control.SendZoneRequest;
import org.persimmonwalk.engine.control.TokenRequestsEnded;
import org.persimmonwalk.engine.control.ZoneRequestEnded;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.peer.generated.zone.ZoneReplyMessage;
import org.persimmonwalk.port.MonotonicClock;
import org.tinylog.Logger;

/**
 * Sends requests to relays, over one connection to each. Any thread may call the methods that send;
 * the rest, including the listener, runs on one event loop.
 */
public final class ZoneClient {
  /** One per zone, and a few to relays that have been replaced; the oldest is closed. */
  private static final int MAXIMUM_CONNECTIONS = 32;

  private final EventLoopGroup group;
  private final MonotonicClock clock;
  private final Duration timeout;
  private final Consumer<Observation> listener;
  private final Map<SocketEndpoint, ZoneConnection> connections =
      new LinkedHashMap<>(MAXIMUM_CONNECTIONS, 0.75f, true);
  private long lastExchangeId;

  private ZoneClient(
      EventLoopGroup group,
      MonotonicClock clock,
      Duration timeout,
      Consumer<Observation> listener) {
    this.group = group;
    this.clock = clock;
    this.timeout = timeout;
    this.listener = listener;
  }

  /**
   * Returns a client without a connection.
   *
   * @param group a group with one thread; the caller closes it
   * @param listener called once for each request, when its reply arrives or it fails
   */
  public static ZoneClient create(
      EventLoopGroup group, MonotonicClock clock, Consumer<Observation> listener) {
    return create(group, clock, EngineTimings.REPLY_TIMEOUT, listener);
  }

  /** Returns a client with another limit for the time for connecting and for a reply. */
  static ZoneClient create(
      EventLoopGroup group,
      MonotonicClock clock,
      Duration timeout,
      Consumer<Observation> listener) {
    return new ZoneClient(group, clock, timeout, listener);
  }

  /** Sends a request to the relay of the zone; ends with {@link ZoneRequestEnded}. */
  public void send(SendZoneRequest command) {
    group
        .next()
        .execute(
            () ->
                exchange(
                    command.relay().endpoint(),
                    id -> ZoneCodec.encode(id, command.request()),
                    (reply, sentAt) ->
                        listener.accept(
                            new ZoneRequestEnded(
                                command,
                                reply.flatMap(message -> decode(message, ZoneCodec::decode)),
                                sentAt,
                                clock.now()))));
  }

  /** Sends token requests to a lender; ends with {@link TokenRequestsEnded}. */
  public void send(SendTokenRequests command) {
    group
        .next()
        .execute(
            () ->
                exchange(
                    command.lender().endpoint(),
                    id -> ZoneCodec.encode(id, command),
                    (reply, sentAt) ->
                        listener.accept(
                            new TokenRequestsEnded(
                                command,
                                reply.flatMap(message -> decode(message, ZoneCodec::decodeTokens)),
                                sentAt,
                                clock.now()))));
  }

  private void exchange(
      SocketEndpoint endpoint,
      Function<Long, MessageLite> request,
      BiConsumer<Optional<ZoneReplyMessage>, MonotonicTime> onEnd) {
    MonotonicTime sentAt = clock.now();
    long exchangeId = ++lastExchangeId;
    connection(endpoint)
        .send(exchangeId, request.apply(exchangeId), reply -> onEnd.accept(reply, sentAt));
  }

  private ZoneConnection connection(SocketEndpoint endpoint) {
    ZoneConnection connection =
        connections.computeIfAbsent(
            endpoint, address -> new ZoneConnection(group, address, timeout));
    if (connections.size() > MAXIMUM_CONNECTIONS) {
      closeOldest();
    }
    return connection;
  }

  private void closeOldest() {
    SocketEndpoint oldest = connections.keySet().iterator().next();
    connections.remove(oldest).close();
  }

  /** Decodes a reply; one with an invalid field counts as missing. */
  private static <T> Optional<T> decode(
      ZoneReplyMessage message, Function<ZoneReplyMessage, T> decoder) {
    try {
      return Optional.of(decoder.apply(message));
    } catch (IllegalArgumentException e) {
      Logger.info("event=zone-answer-unreadable reason={}", e.toString());
      return Optional.empty();
    }
  }
}

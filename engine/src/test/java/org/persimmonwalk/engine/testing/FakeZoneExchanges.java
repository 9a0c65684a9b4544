package org.persimmonwalk.engine.testing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.SendTokenReply;
import org.persimmonwalk.engine.control.SendTokenRequests;
import org.persimmonwalk.engine.control.SendZoneReply;
import org.persimmonwalk.engine.control.SendZoneRequest;
import org.persimmonwalk.engine.control.TokenReply;
import org.persimmonwalk.engine.control.TokenRequestsEnded;
import org.persimmonwalk.engine.control.TokenRequestsReceived;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.engine.control.ZoneRequestEnded;
import org.persimmonwalk.engine.control.ZoneRequestReceived;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.testing.FakeClock;

/** Carries requests and replies between hosts; unanswered requests time out. */
public final class FakeZoneExchanges {
  private final FakeClock clock;
  private final FakeScheduler scheduler;
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private final Map<Long, PendingTokenRequests> pendingTokenRequests = new HashMap<>();
  private final Map<SocketEndpoint, Supplier<Duration>> replyDelays = new HashMap<>();
  private int lateReplies;
  private long nextExchangeId;

  FakeZoneExchanges(FakeClock clock, FakeScheduler scheduler) {
    this.clock = clock;
    this.scheduler = scheduler;
  }

  /** Delays all replies of the host at the endpoint, as a host that is short of processor time. */
  public void delayReplies(SocketEndpoint endpoint, Duration delay) {
    replyDelays.put(endpoint, () -> delay);
  }

  /** Delays each reply of the host at the endpoint by what the source returns for it. */
  public void delayReplies(SocketEndpoint endpoint, Supplier<Duration> delays) {
    replyDelays.put(endpoint, delays);
  }

  /** Returns how many replies arrived after the requesting host had given up. */
  public int lateReplies() {
    return lateReplies;
  }

  /** Executes a command that sends something to another host; returns false for any other. */
  boolean execute(
      Engine host, Command command, Function<SocketEndpoint, Optional<Engine>> reachablePeer) {
    if (command instanceof SendZoneRequest request) {
      send(host, request, reachablePeer.apply(request.relay().endpoint()));
    } else if (command instanceof SendTokenRequests requests) {
      send(host, requests, reachablePeer.apply(requests.lender().endpoint()));
    } else if (command instanceof SendZoneReply reply) {
      reply(reply);
    } else if (command instanceof SendTokenReply reply) {
      reply(reply);
    } else {
      return false;
    }
    return true;
  }

  /** Sends a request of a host to the relay; empty if no relay can be reached. */
  private void send(Engine host, SendZoneRequest command, Optional<Engine> relay) {
    long exchangeId = ++nextExchangeId;
    pendingRequests.put(exchangeId, new PendingRequest(host, command, clock.now()));
    relay.ifPresent(
        engine -> engine.loop().post(new ZoneRequestReceived(exchangeId, command.request())));
    scheduler.schedule(EngineTimings.REPLY_TIMEOUT, () -> end(exchangeId, Optional.empty()));
  }

  private void reply(SendZoneReply command) {
    PendingRequest pending = pendingRequests.get(command.exchangeId());
    if (pending == null) {
      lateReplies++;
      return;
    }
    scheduler.schedule(
        delay(pending.command().relay().endpoint()),
        () -> end(command.exchangeId(), Optional.of(command.reply())));
  }

  private void end(long exchangeId, Optional<ZoneReply> reply) {
    PendingRequest ended = pendingRequests.remove(exchangeId);
    lateReplies += ended == null && reply.isPresent() ? 1 : 0;
    if (ended != null) {
      ended
          .host()
          .loop()
          .post(new ZoneRequestEnded(ended.command(), reply, ended.sentAt(), clock.now()));
    }
  }

  /** Sends token requests of a host to a lender; empty if the lender can't be reached. */
  private void send(Engine host, SendTokenRequests command, Optional<Engine> lender) {
    long exchangeId = ++nextExchangeId;
    pendingTokenRequests.put(exchangeId, new PendingTokenRequests(host, command, clock.now()));
    lender.ifPresent(
        engine ->
            engine
                .loop()
                .post(
                    new TokenRequestsReceived(
                        exchangeId, command.from(), command.requests(), command.restartNotices())));
    scheduler.schedule(EngineTimings.REPLY_TIMEOUT, () -> endTokens(exchangeId, Optional.empty()));
  }

  private void reply(SendTokenReply command) {
    PendingTokenRequests pending = pendingTokenRequests.get(command.exchangeId());
    if (pending == null) {
      lateReplies++;
      return;
    }
    scheduler.schedule(
        delay(pending.command().lender().endpoint()),
        () -> endTokens(command.exchangeId(), Optional.of(command.reply())));
  }

  private void endTokens(long exchangeId, Optional<TokenReply> reply) {
    PendingTokenRequests ended = pendingTokenRequests.remove(exchangeId);
    lateReplies += ended == null && reply.isPresent() ? 1 : 0;
    if (ended != null) {
      ended
          .host()
          .loop()
          .post(new TokenRequestsEnded(ended.command(), reply, ended.sentAt(), clock.now()));
    }
  }

  private Duration delay(SocketEndpoint endpoint) {
    return replyDelays.getOrDefault(endpoint, () -> Duration.ZERO).get();
  }

  private record PendingTokenRequests(
      Engine host, SendTokenRequests command, MonotonicTime sentAt) {}

  private record PendingRequest(Engine host, SendZoneRequest command, MonotonicTime sentAt) {}
}

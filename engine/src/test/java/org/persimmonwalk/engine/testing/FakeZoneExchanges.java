package org.persimmonwalk.engine.testing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.control.SendZoneReply;
import org.persimmonwalk.engine.control.SendZoneRequest;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.engine.control.ZoneRequestEnded;
import org.persimmonwalk.engine.control.ZoneRequestReceived;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.testing.FakeClock;

/** Carries requests and replies between the hosts of a zone; unanswered requests time out. */
final class FakeZoneExchanges {
  private static final Duration TIMEOUT = Duration.ofMillis(200);

  private final FakeClock clock;
  private final FakeScheduler scheduler;
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private long nextExchangeId;

  FakeZoneExchanges(FakeClock clock, FakeScheduler scheduler) {
    this.clock = clock;
    this.scheduler = scheduler;
  }

  /** Sends a request of a host to the relay; empty if no relay can be reached. */
  void send(Engine host, SendZoneRequest command, Optional<Engine> relay) {
    long exchangeId = ++nextExchangeId;
    pendingRequests.put(exchangeId, new PendingRequest(host, command, clock.now()));
    relay.ifPresent(
        engine -> engine.loop().post(new ZoneRequestReceived(exchangeId, command.request())));
    scheduler.schedule(TIMEOUT, () -> end(exchangeId, Optional.empty()));
  }

  void reply(SendZoneReply command) {
    end(command.exchangeId(), Optional.of(command.reply()));
  }

  private void end(long exchangeId, Optional<ZoneReply> reply) {
    PendingRequest ended = pendingRequests.remove(exchangeId);
    if (ended != null) {
      ended
          .host()
          .loop()
          .post(new ZoneRequestEnded(ended.command(), reply, ended.sentAt(), clock.now()));
    }
  }

  private record PendingRequest(Engine host, SendZoneRequest command, MonotonicTime sentAt) {}
}

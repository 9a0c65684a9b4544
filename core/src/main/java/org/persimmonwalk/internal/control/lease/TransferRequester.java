package org.persimmonwalk.internal.control.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.command.SendPeerMessage;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.TransferId;
import org.persimmonwalk.model.Grant;
import org.persimmonwalk.model.GrantRow;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ShareRequest;
import org.persimmonwalk.model.ShareTransfer;
import org.persimmonwalk.model.TableRow;

/**
 * Requests units of one row from a few peers and applies each answer once.
 *
 * <p>A request reserves room in this host's bucket for the tokens of the answer, so that the tokens
 * at all hosts and in messages never exceed the burst. A reservation is short; tokens that arrive
 * after it are dropped.
 */
final class TransferRequester {
  private static final int MAX_REQUESTS_IN_FLIGHT = 3;
  private static final int PEER_SAMPLE_SIZE = 8;
  private static final Duration MIN_INTERVAL = Duration.ofMillis(20);
  private static final Duration MAX_UNITS_INTERVAL = Duration.ofSeconds(2);
  private static final Duration MAX_TOKENS_INTERVAL = Duration.ofMillis(200);
  private static final Duration RESERVATION_TIME = Duration.ofMillis(250);
  private static final Duration FIRST_RETRY_DELAY = Duration.ofSeconds(1);
  private static final int MAX_RETRIES = 5;

  /** How long no request is sent to a peer that had nothing to give. */
  private static final Duration EMPTY_PEER_PAUSE = Duration.ofMillis(250);

  private final TableRow row;
  private final HeldUnits heldUnits;
  private final Map<TransferId, PendingRequest> pending = new LinkedHashMap<>();
  private final Map<EntryHostId, MonotonicTime> skippedUntil = new HashMap<>();
  private final Set<EntryHostId> recentGivers = new HashSet<>();
  private final RequestBackoff unitsBackoff;
  private final RequestBackoff tokensBackoff;
  private long requestsCreated;

  private TransferRequester(TableRow row, HeldUnits heldUnits, MonotonicTime now) {
    this.row = row;
    this.heldUnits = heldUnits;
    this.unitsBackoff = RequestBackoff.of(MIN_INTERVAL, MAX_UNITS_INTERVAL, now);
    this.tokensBackoff = RequestBackoff.of(MIN_INTERVAL, MAX_TOKENS_INTERVAL, now);
  }

  static TransferRequester of(TableRow row, HeldUnits heldUnits, MonotonicTime now) {
    return new TransferRequester(row, heldUnits, now);
  }

  /** Applies an answer, unless it was applied before or answers no request of this host. */
  void receive(ShareTransfer transfer, LeasedResource resource, MonotonicTime now) {
    PendingRequest pendingRequest = pending.remove(transfer.id());
    if (pendingRequest == null) {
      return;
    }
    heldUnits.receive(
        new UnitLease(transfer.amount(), pendingRequest.firstSent().plus(transfer.remaining())));
    if (pendingRequest.hasReservation(now)) {
      double room = pendingRequest.request().tokens() + resource.tokensFor(transfer.amount());
      resource.deposit(Math.min(transfer.tokens(), room));
    }
    if (transfer.amount() > 0) {
      recentGivers.add(pendingRequest.peer());
      unitsBackoff.requestSucceeded(now);
    } else if (transfer.tokens() > 0
        && 2 * transfer.tokens() >= pendingRequest.request().tokens()) {
      recentGivers.add(pendingRequest.peer());
      tokensBackoff.requestSucceeded(now);
    } else {
      recentGivers.remove(pendingRequest.peer());
      skippedUntil.put(pendingRequest.peer(), now.plus(EMPTY_PEER_PAUSE));
    }
  }

  /** Returns the tokens for which requests in flight have reserved room. */
  double reservedTokens(MonotonicTime now) {
    return pending.values().stream()
        .filter(pendingRequest -> pendingRequest.hasReservation(now))
        .mapToDouble(pendingRequest -> pendingRequest.request().tokens())
        .sum();
  }

  /** Returns the requests to send now, both new ones and retries. */
  List<Command> step(
      Fleet fleet, LeasedResource resource, GrantRow grantRow, RoundContext context) {
    MonotonicTime now = context.now();
    List<Command> commands = new ArrayList<>(retry(now));
    long held = heldUnits.available(now);
    if (fleet.stopping() || countInFlight(now) >= MAX_REQUESTS_IN_FLIGHT) {
      return commands;
    }
    double tokens =
        tokensBackoff.isDue(now) ? resource.tokensToRequest(held, MAX_REQUESTS_IN_FLIGHT, now) : 0;
    boolean unitsDue = unitsBackoff.isDue(now) && resource.needsUnits(held);
    if (tokens > 0 || unitsDue) {
      (unitsDue ? unitsBackoff : tokensBackoff).requestSent(now);
      commands.addAll(request(fleet, resource, grantRow, tokens, context));
    }
    return commands;
  }

  private List<Command> request(
      Fleet fleet,
      LeasedResource resource,
      GrantRow grantRow,
      double tokens,
      RoundContext context) {
    MonotonicTime now = context.now();
    long held = heldUnits.available(now);
    List<Command> commands = new ArrayList<>();
    skippedUntil.values().removeIf(until -> !now.isBefore(until));
    for (EntryHostId peer : choosePeers(fleet, resource, grantRow, context)) {
      ShareRequest request =
          new ShareRequest(nextId(fleet, now), row, held, resource.demand(), tokens);
      pending.put(request.id(), new PendingRequest(peer, request, now, 0));
      commands.add(new SendPeerMessage(peer, request));
    }
    return commands;
  }

  private List<Command> retry(MonotonicTime now) {
    List<Command> commands = new ArrayList<>();
    pending.values().removeIf(pendingRequest -> pendingRequest.isAbandoned(now));
    pending.replaceAll(
        (id, pendingRequest) -> {
          if (!pendingRequest.isRetryDue(now)) {
            return pendingRequest;
          }
          commands.add(new SendPeerMessage(pendingRequest.peer(), pendingRequest.request()));
          return pendingRequest.retried();
        });
    return commands;
  }

  /**
   * Chooses from a random sample of peers, first those that gave something in their last answer,
   * then those with the most granted units for their demand.
   */
  private List<EntryHostId> choosePeers(
      Fleet fleet, LeasedResource resource, GrantRow grantRow, RoundContext context) {
    List<EntryHostId> peers = fleet.peers();
    peers.removeIf(peer -> skippedUntil.containsKey(peer) || hasPendingRequest(peer));
    List<EntryHostId> sample = new ArrayList<>();
    while (sample.size() < PEER_SAMPLE_SIZE && !peers.isEmpty()) {
      int last = peers.size() - 1;
      int index = context.random().nextInt(peers.size());
      sample.add(peers.get(index));
      peers.set(index, peers.get(last));
      peers.remove(last);
    }
    sample.sort(
        Comparator.comparing((EntryHostId peer) -> !recentGivers.contains(peer))
            .thenComparingDouble(peer -> -surplus(peer, resource, grantRow)));
    int allowed = MAX_REQUESTS_IN_FLIGHT - countInFlight(context.now());
    return sample.subList(0, Math.min(allowed, sample.size()));
  }

  private static double surplus(EntryHostId peer, LeasedResource resource, GrantRow grantRow) {
    Grant grant = grantRow.grants().get(peer);
    return (grant == null ? 0 : grant.amount()) / (1 + resource.peerDemand(peer));
  }

  private boolean hasPendingRequest(EntryHostId peer) {
    return pending.values().stream().anyMatch(pendingRequest -> pendingRequest.peer().equals(peer));
  }

  /**
   * Counts the requests whose reservation still holds. Older ones are retried but no longer keep
   * this host from sending new ones.
   */
  private int countInFlight(MonotonicTime now) {
    return (int)
        pending.values().stream()
            .filter(pendingRequest -> pendingRequest.hasReservation(now))
            .count();
  }

  /**
   * Returns a new identifier. It contains the time, so that it stays unique when a row is removed
   * from the configuration and added again.
   */
  private TransferId nextId(Fleet fleet, MonotonicTime now) {
    requestsCreated++;
    String time = Long.toString(now.nanoseconds(), Character.MAX_RADIX);
    return TransferId.of(fleet.self() + ":" + time + ":" + requestsCreated);
  }

  /** A request without an answer, which is retried under the same identifier. */
  private record PendingRequest(
      EntryHostId peer, ShareRequest request, MonotonicTime firstSent, int retries) {

    boolean hasReservation(MonotonicTime now) {
      return now.since(firstSent).compareTo(RESERVATION_TIME) < 0;
    }

    boolean isRetryDue(MonotonicTime now) {
      return now.since(firstSent).compareTo(retryAfter()) >= 0;
    }

    boolean isAbandoned(MonotonicTime now) {
      return retries == MAX_RETRIES && isRetryDue(now);
    }

    PendingRequest retried() {
      return new PendingRequest(peer, request, firstSent, retries + 1);
    }

    private Duration retryAfter() {
      return FIRST_RETRY_DELAY.multipliedBy((1L << (retries + 1)) - 1);
    }
  }
}

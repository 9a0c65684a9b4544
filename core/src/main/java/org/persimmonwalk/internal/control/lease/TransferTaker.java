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
import org.persimmonwalk.model.GrantTable;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ShareRequest;
import org.persimmonwalk.model.ShareTransfer;
import org.persimmonwalk.model.TableRow;

/**
 * Asks a few peers for units of one row and applies each answer once.
 *
 * <p>Tokens in an answer use the room that the request reserved, so that tokens at hosts and in
 * messages never exceed the burst. A reservation is short; later tokens are dropped.
 */
final class TransferTaker {
  private static final int PEERS_ASKED_AT_ONCE = 3;
  private static final int PEERS_COMPARED = 8;
  private static final Duration SHORTEST_INTERVAL = Duration.ofMillis(20);
  private static final Duration LONGEST_UNITS_INTERVAL = Duration.ofSeconds(2);
  private static final Duration LONGEST_TOKENS_INTERVAL = Duration.ofMillis(200);
  private static final Duration RESERVATION = Duration.ofMillis(250);
  private static final Duration FIRST_REPEAT = Duration.ofSeconds(1);
  private static final int REPEATS_LIMIT = 5;

  /** How long a peer that had nothing to give is left alone. */
  private static final Duration EMPTY_PEER = Duration.ofMillis(250);

  private final TableRow row;
  private final Holdings holdings;
  private final Map<TransferId, Pending> pending = new LinkedHashMap<>();
  private final Map<EntryHostId, MonotonicTime> emptyUntil = new HashMap<>();
  private final Set<EntryHostId> givers = new HashSet<>();
  private final AskTimer unitsTimer;
  private final AskTimer tokensTimer;
  private long requestsMade;

  private TransferTaker(TableRow row, Holdings holdings, MonotonicTime now) {
    this.row = row;
    this.holdings = holdings;
    this.unitsTimer = AskTimer.of(SHORTEST_INTERVAL, LONGEST_UNITS_INTERVAL, now);
    this.tokensTimer = AskTimer.of(SHORTEST_INTERVAL, LONGEST_TOKENS_INTERVAL, now);
  }

  static TransferTaker of(TableRow row, Holdings holdings, MonotonicTime now) {
    return new TransferTaker(row, holdings, now);
  }

  /** Applies an answer, unless it was applied before or was never asked for. */
  void answered(ShareTransfer transfer, LeasedUse use, MonotonicTime now) {
    Pending asked = pending.remove(transfer.id());
    if (asked == null) {
      return;
    }
    holdings.receive(new Holding(transfer.amount(), asked.firstSent().plus(transfer.remaining())));
    if (asked.isReserved(now)) {
      double room = asked.request().tokens() + use.tokensIn(transfer.amount());
      use.deposit(Math.min(transfer.tokens(), room));
    }
    if (transfer.amount() > 0) {
      givers.add(asked.peer());
      unitsTimer.gained(now);
    } else if (transfer.tokens() > 0 && 2 * transfer.tokens() >= asked.request().tokens()) {
      givers.add(asked.peer());
      tokensTimer.gained(now);
    } else {
      givers.remove(asked.peer());
      emptyUntil.put(asked.peer(), now.plus(EMPTY_PEER));
    }
  }

  /** Returns the tokens for which answers under way have reserved room. */
  double reservedTokens(MonotonicTime now) {
    return pending.values().stream()
        .filter(asked -> asked.isReserved(now))
        .mapToDouble(asked -> asked.request().tokens())
        .sum();
  }

  /** Returns the requests that are due, new and repeated. */
  List<Command> step(Fleet fleet, LeasedUse use, GrantTable table, RoundContext context) {
    MonotonicTime now = context.now();
    List<Command> commands = new ArrayList<>(repeat(now));
    long held = holdings.available(now);
    if (fleet.stopping() || unanswered(now) >= PEERS_ASKED_AT_ONCE) {
      return commands;
    }
    double tokens = tokensTimer.isDue(now) ? use.tokensToAsk(held, PEERS_ASKED_AT_ONCE, now) : 0;
    boolean unitsDue = unitsTimer.isDue(now) && use.isShort(held);
    if (tokens > 0 || unitsDue) {
      (unitsDue ? unitsTimer : tokensTimer).asked(now);
      commands.addAll(ask(fleet, use, table, tokens, context));
    }
    return commands;
  }

  private List<Command> ask(
      Fleet fleet, LeasedUse use, GrantTable table, double tokens, RoundContext context) {
    MonotonicTime now = context.now();
    long held = holdings.available(now);
    List<Command> commands = new ArrayList<>();
    emptyUntil.values().removeIf(until -> !now.isBefore(until));
    for (EntryHostId peer : choosePeers(fleet, use, table, context)) {
      ShareRequest request = new ShareRequest(nextId(fleet, now), row, held, use.demand(), tokens);
      pending.put(request.id(), new Pending(peer, request, now, 0));
      commands.add(new SendPeerMessage(peer, request));
    }
    return commands;
  }

  private List<Command> repeat(MonotonicTime now) {
    List<Command> commands = new ArrayList<>();
    pending.values().removeIf(asked -> asked.isGivenUp(now));
    pending.replaceAll(
        (id, asked) -> {
          if (!asked.isRepeatDue(now)) {
            return asked;
          }
          commands.add(new SendPeerMessage(asked.peer(), asked.request()));
          return asked.repeated();
        });
    return commands;
  }

  /**
   * Draws a few peers and prefers those that gave something when last asked, then those with the
   * most units granted for their demand.
   */
  private List<EntryHostId> choosePeers(
      Fleet fleet, LeasedUse use, GrantTable table, RoundContext context) {
    List<EntryHostId> peers = fleet.peers();
    peers.removeIf(peer -> emptyUntil.containsKey(peer) || isAsked(peer));
    List<EntryHostId> drawn = new ArrayList<>();
    while (drawn.size() < PEERS_COMPARED && !peers.isEmpty()) {
      int last = peers.size() - 1;
      int index = context.random().nextInt(peers.size());
      drawn.add(peers.get(index));
      peers.set(index, peers.get(last));
      peers.remove(last);
    }
    drawn.sort(
        Comparator.comparing((EntryHostId peer) -> !givers.contains(peer))
            .thenComparingDouble(peer -> -surplus(peer, use, table)));
    int free = PEERS_ASKED_AT_ONCE - unanswered(context.now());
    return drawn.subList(0, Math.min(free, drawn.size()));
  }

  private static double surplus(EntryHostId peer, LeasedUse use, GrantTable table) {
    Grant grant = table.grants().get(peer);
    return (grant == null ? 0 : grant.amount()) / (1 + use.peerDemand(peer));
  }

  private boolean isAsked(EntryHostId peer) {
    return pending.values().stream().anyMatch(asked -> asked.peer().equals(peer));
  }

  /** Requests that were sent long ago are repeated but no longer hold up others. */
  private int unanswered(MonotonicTime now) {
    return (int) pending.values().stream().filter(asked -> asked.isReserved(now)).count();
  }

  /** The time keeps identifiers unique when a row is withdrawn and added again. */
  private TransferId nextId(Fleet fleet, MonotonicTime now) {
    requestsMade++;
    String time = Long.toString(now.nanoseconds(), Character.MAX_RADIX);
    return TransferId.of(fleet.self() + ":" + time + ":" + requestsMade);
  }

  private record Pending(
      EntryHostId peer, ShareRequest request, MonotonicTime firstSent, int repeats) {

    boolean isReserved(MonotonicTime now) {
      return now.since(firstSent).compareTo(RESERVATION) < 0;
    }

    boolean isRepeatDue(MonotonicTime now) {
      return now.since(firstSent).compareTo(repeatAfter()) >= 0;
    }

    boolean isGivenUp(MonotonicTime now) {
      return repeats == REPEATS_LIMIT && isRepeatDue(now);
    }

    Pending repeated() {
      return new Pending(peer, request, firstSent, repeats + 1);
    }

    private Duration repeatAfter() {
      return FIRST_REPEAT.multipliedBy((1L << (repeats + 1)) - 1);
    }
  }
}

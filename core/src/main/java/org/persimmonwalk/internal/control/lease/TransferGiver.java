package org.persimmonwalk.internal.control.lease;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.command.SendPeerMessage;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.TransferId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ShareRequest;
import org.persimmonwalk.model.ShareTransfer;
import org.persimmonwalk.model.TableRow;

/**
 * Answers the requests of peers for units of one row, one after the other. Units leave the holdings
 * first; they are sent when they are surely no longer in use.
 */
final class TransferGiver {
  private static final int WAITING_LIMIT = 64;
  private static final int REMEMBERED_LIMIT = 256;
  private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(5);

  private final TableRow row;
  private final Holdings holdings;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private final Map<TransferId, ShareTransfer> answered = new LinkedHashMap<>();
  private Optional<Release> release = Optional.empty();

  private TransferGiver(TableRow row, Holdings holdings) {
    this.row = row;
    this.holdings = holdings;
  }

  static TransferGiver of(TableRow row, Holdings holdings) {
    return new TransferGiver(row, holdings);
  }

  void requested(EntryHostId from, ShareRequest request) {
    if (waiting.size() < WAITING_LIMIT) {
      waiting.add(new Waiting(from, request));
    }
  }

  /** Returns the answers that can be given now. */
  List<Command> step(LeasedUse use, MonotonicTime now) {
    List<Command> commands = new ArrayList<>();
    release.flatMap(begun -> finish(begun, use, now)).ifPresent(commands::add);
    while (release.isEmpty() && !waiting.isEmpty()) {
      begin(waiting.remove(), use, now).ifPresent(commands::add);
    }
    return commands;
  }

  private Optional<Command> begin(Waiting next, LeasedUse use, MonotonicTime now) {
    ShareRequest request = next.request();
    ShareTransfer earlier = answered.get(request.id());
    if (earlier != null) {
      return Optional.of(new SendPeerMessage(next.from(), earlier));
    }
    long units = use.unitsToGive(holdings.available(now), request);
    Optional<Holding> taken = units > 0 ? holdings.take(units, now) : Optional.empty();
    long amount = taken.map(Holding::amount).orElse(0L);
    if (amount == 0 && request.tokens() == 0) {
      return Optional.of(answer(next, ShareTransfer.nothing(request.id(), row)));
    }
    use.release(amount, request.tokens());
    release = Optional.of(new Release(next, taken, now));
    return Optional.empty();
  }

  private Optional<Command> finish(Release begun, LeasedUse use, MonotonicTime now) {
    OptionalDouble tokens = use.released(holdings.available(now));
    boolean late = now.since(begun.since()).compareTo(RELEASE_TIMEOUT) >= 0;
    if (tokens.isEmpty() && !late) {
      return Optional.empty();
    }
    release = Optional.empty();
    if (tokens.isEmpty()) {
      begun.taken().ifPresent(holdings::receive);
      return Optional.of(answer(begun.request(), ShareTransfer.nothing(begun.id(), row)));
    }
    ShareTransfer transfer =
        new ShareTransfer(
            begun.id(),
            row,
            begun.taken().map(Holding::amount).orElse(0L),
            tokens.getAsDouble(),
            begun.taken().map(taken -> taken.end().since(now)).orElse(Duration.ZERO));
    return Optional.of(answer(begun.request(), transfer));
  }

  private Command answer(Waiting request, ShareTransfer transfer) {
    answered.put(transfer.id(), transfer);
    if (answered.size() > REMEMBERED_LIMIT) {
      answered.remove(answered.keySet().iterator().next());
    }
    return new SendPeerMessage(request.from(), transfer);
  }

  private record Waiting(EntryHostId from, ShareRequest request) {}

  private record Release(Waiting request, Optional<Holding> taken, MonotonicTime since) {
    TransferId id() {
      return request.request().id();
    }
  }
}

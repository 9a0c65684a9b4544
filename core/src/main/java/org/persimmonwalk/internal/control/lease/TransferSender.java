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
 * Answers the requests of peers for units of one row, one after the other. Units are first taken
 * out of those that this host holds, and sent only when this host no longer uses them.
 */
final class TransferSender {
  private static final int MAX_QUEUED_REQUESTS = 64;
  private static final int MAX_REMEMBERED_ANSWERS = 256;
  private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(5);

  private final TableRow row;
  private final HeldUnits heldUnits;
  private final Deque<QueuedRequest> queue = new ArrayDeque<>();
  private final Map<TransferId, ShareTransfer> sentAnswers = new LinkedHashMap<>();
  private Optional<Release> release = Optional.empty();

  private TransferSender(TableRow row, HeldUnits heldUnits) {
    this.row = row;
    this.heldUnits = heldUnits;
  }

  static TransferSender of(TableRow row, HeldUnits heldUnits) {
    return new TransferSender(row, heldUnits);
  }

  void enqueue(EntryHostId from, ShareRequest request) {
    if (queue.size() < MAX_QUEUED_REQUESTS) {
      queue.add(new QueuedRequest(from, request));
    }
  }

  /** Returns the answers that can be sent now. */
  List<Command> step(LeasedResource resource, MonotonicTime now) {
    List<Command> commands = new ArrayList<>();
    release.flatMap(current -> finish(current, resource, now)).ifPresent(commands::add);
    while (release.isEmpty() && !queue.isEmpty()) {
      start(queue.remove(), resource, now).ifPresent(commands::add);
    }
    return commands;
  }

  private Optional<Command> start(QueuedRequest next, LeasedResource resource, MonotonicTime now) {
    ShareRequest request = next.request();
    ShareTransfer previous = sentAnswers.get(request.id());
    if (previous != null) {
      return Optional.of(new SendPeerMessage(next.from(), previous));
    }
    long units = resource.unitsToGive(heldUnits.available(now), request);
    Optional<UnitLease> taken = units > 0 ? heldUnits.take(units, now) : Optional.empty();
    long amount = taken.map(UnitLease::amount).orElse(0L);
    if (amount == 0 && request.tokens() == 0) {
      return Optional.of(answer(next, ShareTransfer.empty(request.id(), row)));
    }
    resource.startRelease(amount, request.tokens());
    release = Optional.of(new Release(next, taken, now));
    return Optional.empty();
  }

  private Optional<Command> finish(Release current, LeasedResource resource, MonotonicTime now) {
    OptionalDouble tokens = resource.releasedTokens(heldUnits.available(now));
    boolean timedOut = now.since(current.startedAt()).compareTo(RELEASE_TIMEOUT) >= 0;
    if (tokens.isEmpty() && !timedOut) {
      return Optional.empty();
    }
    release = Optional.empty();
    if (tokens.isEmpty()) {
      current.taken().ifPresent(heldUnits::receive);
      return Optional.of(answer(current.request(), ShareTransfer.empty(current.id(), row)));
    }
    ShareTransfer transfer =
        new ShareTransfer(
            current.id(),
            row,
            current.taken().map(UnitLease::amount).orElse(0L),
            tokens.getAsDouble(),
            current.taken().map(taken -> taken.end().since(now)).orElse(Duration.ZERO));
    return Optional.of(answer(current.request(), transfer));
  }

  private Command answer(QueuedRequest request, ShareTransfer transfer) {
    sentAnswers.put(transfer.id(), transfer);
    if (sentAnswers.size() > MAX_REMEMBERED_ANSWERS) {
      sentAnswers.remove(sentAnswers.keySet().iterator().next());
    }
    return new SendPeerMessage(request.from(), transfer);
  }

  private record QueuedRequest(EntryHostId from, ShareRequest request) {}

  /** Units and tokens that are being withdrawn before they are sent. */
  private record Release(
      QueuedRequest request, Optional<UnitLease> taken, MonotonicTime startedAt) {
    TransferId id() {
      return request.request().id();
    }
  }
}

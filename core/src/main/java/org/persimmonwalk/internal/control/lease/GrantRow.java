package org.persimmonwalk.internal.control.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.command.CompareAndSetTableRow;
import org.persimmonwalk.command.ReadTableRow;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.GrantId;
import org.persimmonwalk.model.Grant;
import org.persimmonwalk.model.GrantTable;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.model.WriteOutcome;
import org.persimmonwalk.observation.TableRowRead;

/**
 * Obtains, renews and returns this host's grant in one row.
 *
 * <p>A grant counts as obtained only when a read shows it in the row, whatever the answer to the
 * write was. Until then this host uses no more than the least that the row may state.
 */
final class GrantRow {
  private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration SHORTEST_BACKOFF = Duration.ofMillis(100);
  private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(10);

  /** How soon a host looks again while units that it is to give up are still in use. */
  private static final Duration LOWERING_RETRY = Duration.ofSeconds(1);

  private final TableRow row;
  private final LeaseSettings settings;
  private final Holdings holdings;
  private final ObservedRow observed = ObservedRow.unread();
  private final List<Attempt> attempts = new ArrayList<>();
  private boolean readSinceCommand;
  private Optional<MonotonicTime> commandSince = Optional.empty();
  private MonotonicTime nextRead;
  private Duration backoff = SHORTEST_BACKOFF;
  private long lastTotal;
  private boolean lastStopping;
  private long grantsMade;

  private GrantRow(
      TableRow row, LeaseSettings settings, Holdings holdings, MonotonicTime firstRead) {
    this.row = row;
    this.settings = settings;
    this.holdings = holdings;
    this.nextRead = firstRead;
  }

  static GrantRow of(
      TableRow row, LeaseSettings settings, Holdings holdings, MonotonicTime firstRead) {
    return new GrantRow(row, settings, holdings, firstRead);
  }

  /** Returns the row as last read. */
  GrantTable table() {
    return observed.table();
  }

  /** Takes note of the row; the time must not precede the answer. */
  void read(TableRowRead read, EntryHostId self, MonotonicTime now) {
    commandSince = Optional.empty();
    if (!observed.note(read, now)) {
      nextRead = now.plus(SHORTEST_BACKOFF);
      return;
    }
    readSinceCommand = true;
    holdings.setOwn(observed.grant(self).flatMap(this::ownGrant));
    attempts.removeIf(attempt -> attempt.expected().compareTo(observed.version()) < 0);
  }

  void readFailed(RoundContext context) {
    commandSince = Optional.empty();
    backOff(context);
  }

  /** Reads the row after any answer, since only a read shows what took effect. */
  void written(WriteOutcome outcome, RoundContext context) {
    commandSince = Optional.empty();
    if (outcome == WriteOutcome.WRITTEN) {
      backoff = SHORTEST_BACKOFF;
      nextRead = context.now();
    } else {
      backOff(context);
    }
  }

  /** Returns the next command if one is due. */
  Optional<Command> step(Fleet fleet, LeasedUse use, RoundContext context) {
    MonotonicTime now = context.now();
    if (commandSince.isPresent() && now.since(commandSince.get()).compareTo(COMMAND_TIMEOUT) >= 0) {
      readFailed(context);
    }
    if (lastTotal != use.total() || lastStopping != fleet.stopping()) {
      lastTotal = use.total();
      lastStopping = fleet.stopping();
      nextRead = now;
    }
    Optional<Command> command = Optional.empty();
    if (commandSince.isEmpty()) {
      command = readSinceCommand ? write(fleet, use, context) : Optional.empty();
      if (command.isEmpty() && fleet.isKnown() && !now.isBefore(nextRead)) {
        command = Optional.of(new ReadTableRow(row));
      }
    }
    readSinceCommand = false;
    command.ifPresent(sent -> commandSince = Optional.of(now));
    limitUse(fleet);
    return command;
  }

  private Optional<OwnGrant> ownGrant(Grant grant) {
    Optional<OwnGrant> known = holdings.own().filter(own -> own.id().equals(grant.id()));
    if (known.isPresent()) {
      return known.map(own -> own.withAmount(grant.amount()));
    }
    return attempts.stream()
        .filter(attempt -> attempt.grant().equals(Optional.of(grant)))
        .findFirst()
        .map(attempt -> obtained(grant, attempt.sentAt()));
  }

  private OwnGrant obtained(Grant grant, MonotonicTime sentAt) {
    return new OwnGrant(grant.id(), grant.amount(), sentAt, sentAt.plus(settings.usable()));
  }

  private Optional<Command> write(Fleet fleet, LeasedUse use, RoundContext context) {
    MonotonicTime now = context.now();
    Map<EntryHostId, Grant> grants = observed.unexpired(now);
    Optional<Grant> mine = observed.grant(fleet.self());
    if (mine.isPresent() && holdings.own().isEmpty() && grants.containsKey(fleet.self())) {
      schedule(settings.retryFullRow(), context);
      return Optional.empty();
    }
    grants.remove(fleet.self());
    long current = holdings.own().map(OwnGrant::amount).orElse(0L);
    long others = GrantTable.of(use.total(), grants).granted();
    long amount = amount(fleet, use, current, Math.max(0, use.total() - others), now);
    boolean fits = others + amount <= use.total();
    if (!isDue(fleet, amount, current, fits && isTotalOutdated(use), now)) {
      scheduleNext(fleet, use, current, context);
      return Optional.empty();
    }
    Optional<Grant> next = Optional.empty();
    if (amount > 0) {
      next =
          Optional.of(fleet.stopping() ? mine.get().withAmount(amount) : grant(fleet, amount, now));
      grants.put(fleet.self(), next.get());
    }
    attempts.add(new Attempt(next, now, observed.version()));
    long total = fits ? use.total() : Math.max(use.total(), table().total());
    GrantTable written = GrantTable.of(total, grants);
    return Optional.of(new CompareAndSetTableRow(row, observed.version(), written));
  }

  /**
   * Returns the units to hold from now on: the target as far as others leave room, but no less than
   * what peers or this host may still be using.
   */
  private long amount(Fleet fleet, LeasedUse use, long current, long free, MonotonicTime now) {
    long wished = Math.min(fleet.target(row, use.total()), Math.max(free, current));
    long inUse = holdings.lent() + Math.max(0, use.inUse() - holdings.receivedAvailable(now));
    return Math.max(wished, Math.min(current, inUse));
  }

  private boolean isDue(
      Fleet fleet, long amount, long current, boolean newTotal, MonotonicTime now) {
    if (fleet.stopping()) {
      return amount != current;
    }
    if (holdings.own().isEmpty()) {
      return amount > 0;
    }
    return newTotal || !now.isBefore(renewal(holdings.own().get()));
  }

  private boolean isTotalOutdated(LeasedUse use) {
    return table().total() != use.total();
  }

  private void scheduleNext(Fleet fleet, LeasedUse use, long current, RoundContext context) {
    if (current > 0 && (fleet.stopping() || isTotalOutdated(use))) {
      schedule(LOWERING_RETRY, context);
    } else if (holdings.own().isPresent()) {
      schedule(renewal(holdings.own().get()).since(context.now()), context);
    } else {
      schedule(fleet.stopping() ? settings.lease() : settings.retryFullRow(), context);
    }
  }

  /** Spreads reads over a tenth of the time, so that hosts that started together drift apart. */
  private void schedule(Duration delay, RoundContext context) {
    nextRead = context.now().plus(delay).plus(random(delay.dividedBy(10), context));
  }

  private void backOff(RoundContext context) {
    nextRead = context.now().plus(random(backoff, context));
    Duration doubled = backoff.multipliedBy(2);
    backoff = doubled.compareTo(LONGEST_BACKOFF) < 0 ? doubled : LONGEST_BACKOFF;
  }

  private static Duration random(Duration bound, RoundContext context) {
    int milliseconds = (int) Math.max(1, bound.toMillis());
    return Duration.ofMillis(context.random().nextInt(milliseconds));
  }

  private MonotonicTime renewal(OwnGrant own) {
    return own.start().plus(settings.renewAfter());
  }

  /** The time keeps identifiers unique when a row is withdrawn and added again. */
  private Grant grant(Fleet fleet, long amount, MonotonicTime now) {
    grantsMade++;
    String time = Long.toString(now.nanoseconds(), Character.MAX_RADIX);
    GrantId id = GrantId.of(fleet.self() + ":" + time + ":" + grantsMade);
    return Grant.of(id, amount, settings.lease());
  }

  /** A write that may take effect, now or later, limits the use as if it had. */
  private void limitUse(Fleet fleet) {
    long least = attempts.stream().mapToLong(Attempt::amount).min().orElse(Long.MAX_VALUE);
    holdings.setCap(fleet.stopping() ? 0 : least);
  }

  private record Attempt(Optional<Grant> grant, MonotonicTime sentAt, RowVersion expected) {
    long amount() {
      return grant.map(Grant::amount).orElse(0L);
    }
  }
}

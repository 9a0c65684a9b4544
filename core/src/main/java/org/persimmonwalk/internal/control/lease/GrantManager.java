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
import org.persimmonwalk.model.GrantRow;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.model.WriteOutcome;
import org.persimmonwalk.observation.TableRowRead;

/**
 * Obtains, renews and returns this host's grant in one row, by reads and compare-and-set writes.
 *
 * <p>A new grant is used only after a read has shown it in the row, whatever the answer to the
 * write was. While a write may still take effect, this host uses no more than the smallest amount
 * that the row may contain for it.
 */
final class GrantManager {
  private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration MIN_BACKOFF = Duration.ofMillis(100);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(10);

  /** How soon a host reads the row again while units that it has to return are still in use. */
  private static final Duration RETURN_RETRY_DELAY = Duration.ofSeconds(1);

  private final TableRow row;
  private final LeaseSettings settings;
  private final HeldUnits heldUnits;
  private final ObservedRow observed = ObservedRow.unread();
  private final List<Attempt> attempts = new ArrayList<>();
  private boolean rowUpdated;
  private Optional<MonotonicTime> commandSentAt = Optional.empty();
  private MonotonicTime nextRead;
  private Duration backoff = MIN_BACKOFF;
  private long lastTotal;
  private boolean wasStopping;
  private long grantsCreated;

  private GrantManager(
      TableRow row, LeaseSettings settings, HeldUnits heldUnits, MonotonicTime firstRead) {
    this.row = row;
    this.settings = settings;
    this.heldUnits = heldUnits;
    this.nextRead = firstRead;
  }

  static GrantManager of(
      TableRow row, LeaseSettings settings, HeldUnits heldUnits, MonotonicTime firstRead) {
    return new GrantManager(row, settings, heldUnits, firstRead);
  }

  /** Returns the row as last read. */
  GrantRow grantRow() {
    return observed.grantRow();
  }

  /** Applies a read; the time must not be earlier than the arrival of the answer. */
  void read(TableRowRead read, EntryHostId self, MonotonicTime now) {
    commandSentAt = Optional.empty();
    if (!observed.update(read, now)) {
      nextRead = now.plus(MIN_BACKOFF);
      return;
    }
    rowUpdated = true;
    heldUnits.setOwn(observed.grant(self).flatMap(this::ownGrant));
    attempts.removeIf(attempt -> attempt.expected().compareTo(observed.version()) < 0);
  }

  void readFailed(RoundContext context) {
    commandSentAt = Optional.empty();
    backOff(context);
  }

  /** Schedules a read after any answer to a write, since only a read shows what took effect. */
  void written(WriteOutcome outcome, RoundContext context) {
    commandSentAt = Optional.empty();
    if (outcome == WriteOutcome.WRITTEN) {
      backoff = MIN_BACKOFF;
      nextRead = context.now();
    } else {
      backOff(context);
    }
  }

  /** Returns the next command if one is due. */
  Optional<Command> step(Fleet fleet, LeasedResource resource, RoundContext context) {
    MonotonicTime now = context.now();
    if (commandSentAt.isPresent()
        && now.since(commandSentAt.get()).compareTo(COMMAND_TIMEOUT) >= 0) {
      readFailed(context);
    }
    if (lastTotal != resource.total() || wasStopping != fleet.stopping()) {
      lastTotal = resource.total();
      wasStopping = fleet.stopping();
      nextRead = now;
    }
    Optional<Command> command = Optional.empty();
    if (commandSentAt.isEmpty()) {
      command = rowUpdated ? write(fleet, resource, context) : Optional.empty();
      if (command.isEmpty() && fleet.isKnown() && !now.isBefore(nextRead)) {
        command = Optional.of(new ReadTableRow(row));
      }
    }
    rowUpdated = false;
    command.ifPresent(sent -> commandSentAt = Optional.of(now));
    capUse(fleet);
    return command;
  }

  private Optional<OwnGrant> ownGrant(Grant grant) {
    Optional<OwnGrant> known = heldUnits.own().filter(own -> own.id().equals(grant.id()));
    if (known.isPresent()) {
      return known.map(own -> own.withAmount(grant.amount()));
    }
    return attempts.stream()
        .filter(attempt -> attempt.grant().equals(Optional.of(grant)))
        .findFirst()
        .map(attempt -> obtained(grant, attempt.sentAt()));
  }

  private OwnGrant obtained(Grant grant, MonotonicTime sentAt) {
    return new OwnGrant(grant.id(), grant.amount(), sentAt, sentAt.plus(settings.usableDuration()));
  }

  private Optional<Command> write(Fleet fleet, LeasedResource resource, RoundContext context) {
    MonotonicTime now = context.now();
    Map<EntryHostId, Grant> grants = observed.unexpired(now);
    Optional<Grant> ownGrant = observed.grant(fleet.self());
    if (ownGrant.isPresent() && heldUnits.own().isEmpty() && grants.containsKey(fleet.self())) {
      schedule(settings.fullRowRetryDelay(), context);
      return Optional.empty();
    }
    grants.remove(fleet.self());
    long current = heldUnits.own().map(OwnGrant::amount).orElse(0L);
    long others = GrantRow.of(resource.total(), grants).granted();
    long amount = nextAmount(fleet, resource, current, Math.max(0, resource.total() - others), now);
    boolean fits = others + amount <= resource.total();
    if (!isWriteDue(fleet, amount, current, fits && isTotalOutdated(resource), now)) {
      scheduleNext(fleet, resource, current, context);
      return Optional.empty();
    }
    Optional<Grant> next = Optional.empty();
    if (amount > 0) {
      next =
          Optional.of(
              fleet.stopping() ? ownGrant.get().withAmount(amount) : newGrant(fleet, amount, now));
      grants.put(fleet.self(), next.get());
    }
    attempts.add(new Attempt(next, now, observed.version()));
    long total = fits ? resource.total() : Math.max(resource.total(), grantRow().total());
    GrantRow written = GrantRow.of(total, grants);
    return Optional.of(new CompareAndSetTableRow(row, observed.version(), written));
  }

  /**
   * Returns the units for the next grant: the target as far as the grants of other hosts leave
   * room, but no less than the part of the current grant that peers or this host may still be
   * using.
   */
  private long nextAmount(
      Fleet fleet, LeasedResource resource, long current, long free, MonotonicTime now) {
    long wanted = Math.min(fleet.target(row, resource.total()), Math.max(free, current));
    long inUse =
        heldUnits.lent() + Math.max(0, resource.inUse() - heldUnits.receivedAvailable(now));
    return Math.max(wanted, Math.min(current, inUse));
  }

  private boolean isWriteDue(
      Fleet fleet, long amount, long current, boolean totalChanged, MonotonicTime now) {
    if (fleet.stopping()) {
      return amount != current;
    }
    if (heldUnits.own().isEmpty()) {
      return amount > 0;
    }
    return totalChanged || !now.isBefore(renewalTime(heldUnits.own().get()));
  }

  private boolean isTotalOutdated(LeasedResource resource) {
    return grantRow().total() != resource.total();
  }

  private void scheduleNext(
      Fleet fleet, LeasedResource resource, long current, RoundContext context) {
    if (current > 0 && (fleet.stopping() || isTotalOutdated(resource))) {
      schedule(RETURN_RETRY_DELAY, context);
    } else if (heldUnits.own().isPresent()) {
      schedule(renewalTime(heldUnits.own().get()).since(context.now()), context);
    } else {
      schedule(fleet.stopping() ? settings.duration() : settings.fullRowRetryDelay(), context);
    }
  }

  /** Adds up to a tenth of the delay as jitter, so that hosts that started together spread out. */
  private void schedule(Duration delay, RoundContext context) {
    nextRead = context.now().plus(delay).plus(randomDelay(delay.dividedBy(10), context));
  }

  private void backOff(RoundContext context) {
    nextRead = context.now().plus(randomDelay(backoff, context));
    Duration doubled = backoff.multipliedBy(2);
    backoff = doubled.compareTo(MAX_BACKOFF) < 0 ? doubled : MAX_BACKOFF;
  }

  private static Duration randomDelay(Duration bound, RoundContext context) {
    int milliseconds = (int) Math.max(1, bound.toMillis());
    return Duration.ofMillis(context.random().nextInt(milliseconds));
  }

  private MonotonicTime renewalTime(OwnGrant own) {
    return own.start().plus(settings.renewAfter());
  }

  /**
   * Creates a grant. Its identifier contains the time, so that it stays unique when a row is
   * removed from the configuration and added again.
   */
  private Grant newGrant(Fleet fleet, long amount, MonotonicTime now) {
    grantsCreated++;
    String time = Long.toString(now.nanoseconds(), Character.MAX_RADIX);
    GrantId id = GrantId.of(fleet.self() + ":" + time + ":" + grantsCreated);
    return Grant.of(id, amount, settings.duration());
  }

  /** Caps the units in use at the smallest amount among the writes that may still take effect. */
  private void capUse(Fleet fleet) {
    long smallest = attempts.stream().mapToLong(Attempt::amount).min().orElse(Long.MAX_VALUE);
    heldUnits.setCap(fleet.stopping() ? 0 : smallest);
  }

  /** A write that was sent, with the grant that it gives this host, if any. */
  private record Attempt(Optional<Grant> grant, MonotonicTime sentAt, RowVersion expected) {
    long amount() {
      return grant.map(Grant::amount).orElse(0L);
    }
  }
}

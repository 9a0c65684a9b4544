package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Decides how long sessions may go on while the host stops or cannot verify its control state.
 * Sessions ask after each answer, since one that always has a statement running is never idle when
 * the periodic work looks at it.
 */
final class SessionLifetime {
  /**
   * A stopping host serves for this long before it ends sessions: the platform sends new callers
   * for up to 2 s after a host reports not ready.
   */
  private static final Duration DRAIN_DELAY = Duration.ofMillis(2200);

  /** A stopping host aborts open transactions after the stop grace period divided by this. */
  private static final int TRANSACTION_GRACE_DIVISOR = 2;

  private final TrafficContext context;
  private final Duration transactionGrace;
  private Optional<MonotonicTime> stoppingSince = Optional.empty();

  SessionLifetime(TrafficContext context) {
    this.context = context;
    this.transactionGrace = context.settings().stopGrace().dividedBy(TRANSACTION_GRACE_DIVISOR);
  }

  /** Starts the phases of the stop if the host has been asked to stop. */
  void checkStopRequest(int sessionCount) {
    if (stoppingSince.isEmpty() && context.entry(EngineEntries.STOPPING)) {
      stoppingSince = Optional.of(context.now());
      context.log().write("stopping", "sessions", sessionCount);
    }
  }

  /**
   * Returns whether a new session may be opened. Near the end of the grace period its statements
   * might be cut off.
   */
  boolean acceptsSessions() {
    return allowsTransactions();
  }

  /** Returns whether open transactions may go on. */
  boolean allowsTransactions() {
    return !isStoppingLongerThan(transactionGrace);
  }

  /** Returns whether the host is stopping and ends its sessions. */
  boolean isDraining() {
    return isStoppingLongerThan(DRAIN_DELAY);
  }

  /** Returns why the session must end before its next operation; empty if it may go on. */
  Optional<String> endReason(CallerIdentity identity) {
    if (isDraining()) {
      return Optional.of("this host is stopping");
    }
    if (identity.key().isPresent() && !context.shouldKeepCallers()) {
      return Optional.of("this host cannot verify keys at present");
    }
    return Optional.empty();
  }

  /** Returns whether no session may have to end, whatever its key and its transaction. */
  boolean letsAllGoOn() {
    return stoppingSince.isEmpty()
        && context.entry(EngineEntries.EVACUATIONS).deadlines().isEmpty()
        && context.shouldKeepCallers();
  }

  private boolean isStoppingLongerThan(Duration time) {
    return stoppingSince.isPresent()
        && context.now().since(stoppingSince.get()).compareTo(time) > 0;
  }
}

package org.persimmonwalk.internal.control.drain;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.model.HostPhase;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.PeerRevisions;
import org.persimmonwalk.observation.OpenSessionsCounted;
import org.persimmonwalk.observation.StopRequested;

/**
 * Decides when the host starts serving callers and when it is drained after a stop was requested.
 * It writes entries {@link Entries#HOST_PHASE} and {@link Entries#DRAIN_DEADLINE} and runs after
 * the controller that writes {@link Entries#CONFIGURATION}.
 */
public final class DrainController implements Controller {
  /**
   * How long a host that has its first configuration waits for peers to report their revisions. All
   * peers may be down.
   */
  private static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);

  /** How long a draining host waits for its sessions to end. */
  private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(20);

  private Optional<MonotonicTime> configuredAt = Optional.empty();

  private DrainController() {}

  /** Returns the controller. */
  public static DrainController create() {
    return new DrainController();
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    HostPhase phase = blackboard.get(Entries.HOST_PHASE);
    HostPhase next =
        switch (phase) {
          case STARTING -> isReady(blackboard, context) ? HostPhase.SERVING : phase;
          case DRAINING -> isDrained(blackboard, context) ? HostPhase.STOPPED : phase;
          case SERVING, STOPPED -> phase;
        };
    boolean canDrain = next == HostPhase.STARTING || next == HostPhase.SERVING;
    if (canDrain && blackboard.observations(StopRequested.class).findAny().isPresent()) {
      next = HostPhase.DRAINING;
      blackboard.put(Entries.DRAIN_DEADLINE, Optional.of(context.now().plus(DRAIN_TIMEOUT)));
    }
    if (next != phase) {
      blackboard.put(Entries.HOST_PHASE, next);
    }
  }

  /**
   * Returns whether the host has a configuration, and enough peers have reported a revision and
   * none a newer one, or the wait for peers has timed out.
   */
  private boolean isReady(Blackboard blackboard, RoundContext context) {
    Revision own = blackboard.get(Entries.CONFIGURATION).revision();
    if (own.equals(Revision.NONE)) {
      return false;
    }
    if (configuredAt.isEmpty()) {
      configuredAt = Optional.of(context.now());
    }
    PeerRevisions peers = blackboard.get(Entries.PEER_REVISIONS);
    boolean current = peers.isSufficient() && !peers.highest().isNewerThan(own);
    return current || context.now().since(configuredAt.get()).compareTo(PEER_TIMEOUT) >= 0;
  }

  /**
   * Returns whether no session is open or the deadline has passed. It is called only in rounds
   * after the one that began draining, because an earlier count may miss a session that was opened
   * since.
   */
  private static boolean isDrained(Blackboard blackboard, RoundContext context) {
    boolean empty =
        blackboard
            .observations(OpenSessionsCounted.class)
            .reduce((first, second) -> second)
            .filter(sessions -> sessions.count() == 0)
            .isPresent();
    return empty
        || blackboard
            .get(Entries.DRAIN_DEADLINE)
            .filter(deadline -> !context.now().isBefore(deadline))
            .isPresent();
  }
}

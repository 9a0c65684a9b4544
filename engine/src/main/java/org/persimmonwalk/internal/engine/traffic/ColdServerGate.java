package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.ColdBounds;
import org.persimmonwalk.engine.control.ColdBudget;
import org.persimmonwalk.engine.control.ColdServer;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineTimings;
import org.persimmonwalk.engine.control.ServerConnectionLost;
import org.persimmonwalk.engine.control.SuspectedRestart;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Admits the requests that this host sends to cold servers, as {@link ColdBudget} decides, and
 * counts them. Admits everything if the settings or the group don't limit them.
 */
final class ColdServerGate {
  /** Tells callers why a statement was not sent. */
  static final Failure NOT_ADMITTED =
      Failure.of(
          FailureCode.OVERLOADED,
          "the server has just started and gets no more requests at present; not run");

  /** Pause before a statement that has to wait for its part of a second is tried again. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(15);

  /**
   * How long after the loss of its connections a server gets nothing: until its notice has reached
   * all hosts (an exchange of the reporting host after 0.1 s and one of each other host after 0.25
   * s, each with a reply), and what they sent before has left the window.
   */
  private static final Duration QUIET_TIME = Duration.ofMillis(400).plus(ColdBudget.WINDOW);

  private final TrafficContext context;
  private final Optional<ColdBounds> bounds;
  private final Duration restartVisibleAfter;
  private final RestartSigns signs = new RestartSigns();
  private final Map<BackendServerId, SendWindow> windows = new HashMap<>();
  private final Map<BackendServerId, MonotonicTime> lostAt = new HashMap<>();
  private final Map<BackendServerId, MonotonicTime> keptAt = new HashMap<>();

  ColdServerGate(TrafficContext context) {
    this.context = context;
    this.bounds = context.settings().coldBounds();
    this.restartVisibleAfter = EngineTimings.restartVisibleAfter(context.settings().bounds());
  }

  /** Returns whether the server counts as cold. */
  boolean isCold(ServerEntry server) {
    if (zonePart(server.group()).isEmpty()) {
      return false;
    }
    return context.entry(EngineEntries.COLD_SERVERS).containsKey(server.id())
        || isLossTooRecent(server.id());
  }

  /**
   * Returns whether no list can show yet if the server restarted when a connection was lost. The
   * control thread, which decides what a later list shows, hears of a loss only in its next round.
   */
  private boolean isLossTooRecent(BackendServerId server) {
    MonotonicTime lost = lostAt.get(server);
    return lost != null
        && context
            .entry(EngineEntries.SERVER_LIST_VERSION)
            .filter(list -> !list.readAt().isBefore(lost.plus(restartVisibleAfter)))
            .isEmpty();
  }

  /**
   * Returns the part of this zone; empty if requests to the servers of the group are not limited.
   */
  private Optional<Integer> zonePart(DatabaseGroupId group) {
    if (bounds.isEmpty()) {
      return Optional.empty();
    }
    GroupSettings settings = context.entry(EngineEntries.CONFIGURATION).groups().get(group);
    return settings == null || !settings.startsCold()
        ? Optional.empty()
        : Optional.of(bounds.get().zonePart(settings, context.settings().zones().size()));
  }

  /**
   * Returns whether hosts that do not know of a suspected restart yet may have sent requests within
   * the window. Theirs and those of this host together would exceed the bound.
   */
  private boolean isNoticeSpreading(BackendServerId server) {
    MonotonicTime now = context.now();
    SuspectedRestart suspected = context.entry(EngineEntries.SUSPECTED_RESTARTS).get(server);
    return (suspected != null && now.since(suspected.lostAt()).compareTo(QUIET_TIME) < 0)
        || signs
            .lastReportedAt(server)
            .filter(at -> now.since(at).compareTo(QUIET_TIME) < 0)
            .isPresent();
  }

  /** Returns how many requests this host may send to the cold server in the present second. */
  private int limitNow(ServerEntry server) {
    return isNoticeSpreading(server.id()) ? 0 : limit(server.group());
  }

  /** Returns how many requests this host may send to a cold server of the group in a second. */
  private int limit(DatabaseGroupId group) {
    return context.coldRole().maySend(context.now()) ? zonePart(group).orElse(0) : 0;
  }

  /** Returns whether this host may send statements to the server, now or soon. */
  boolean hasPart(ServerEntry server) {
    return !isCold(server) || limit(server.group()) > 0;
  }

  /** Returns whether this host may send a statement to the server now. */
  boolean maySend(ServerEntry server) {
    return !isCold(server)
        || window(server).hasRoom(ColdBudget.forStatements(limitNow(server)), context.now());
  }

  /**
   * Runs the first action once a statement may be sent to the server, or the other one if that will
   * not be so before the deadline.
   */
  void whenAdmitted(
      ServerEntry server, MonotonicTime deadline, Runnable admitted, Runnable refused) {
    if (maySend(server)) {
      admitted.run();
    } else if (hasPart(server) && context.now().plus(RETRY_PAUSE).isBefore(deadline)) {
      context
          .scheduler()
          .schedule(RETRY_PAUSE, () -> whenAdmitted(server, deadline, admitted, refused));
    } else {
      refused.run();
    }
  }

  /** Counts a statement and returns true, or returns false if it must not be sent. */
  boolean admitStatement(ServerEntry server) {
    return admit(server, ColdBudget.forStatements(limitNow(server)));
  }

  /** Counts a status request and returns true, or returns false if it must not be sent. */
  boolean admitStatusRequest(ServerEntry server) {
    return admit(server, limitNow(server));
  }

  private boolean admit(ServerEntry server, int limit) {
    if (!isCold(server)) {
      return true;
    }
    boolean admitted = window(server).tryAdd(limit, context.now());
    context.meter().count(admitted ? "cold-server.request-sent" : "cold-server.request-kept");
    return admitted;
  }

  private SendWindow window(ServerEntry server) {
    return windows.computeIfAbsent(server.id(), unused -> new SendWindow(ColdBudget.WINDOW));
  }

  /** Records that a statement was kept from the server. */
  void recordKept(ServerEntry server) {
    keptAt.put(server.id(), context.now());
    context.meter().count("cold-server.statement-kept");
  }

  /**
   * Records that a connection was lost, or could not be opened, so that the server may have
   * restarted.
   *
   * @param wasIdle whether no session used the connection
   * @param oldestOpen when the oldest of the connections that are left was opened; empty if none is
   */
  void connectionLost(
      PooledConnection connection, boolean wasIdle, Optional<MonotonicTime> oldestOpen) {
    ServerEntry server = connection.server();
    ServerEntry listed = context.entry(EngineEntries.SERVERS).get(server.id());
    boolean isReplaced = listed != null && listed.startedAtMillis() > server.startedAtMillis();
    if (zonePart(server.group()).isEmpty() || isReplaced) {
      return;
    }
    MonotonicTime now = context.now();
    boolean suggestsRestart = false;
    if (!connection.wasClosedHere()) {
      MonotonicTime lastUsed = wasIdle ? connection.lastUsed() : now;
      suggestsRestart =
          connection.wasEverOpen()
              ? signs.connectionLost(server.id(), lastUsed, oldestOpen, now)
              : signs.connectionRefused(server.id(), now);
    }
    lostAt.put(server.id(), now);
    context.post(new ServerConnectionLost(server, now, suggestsRestart));
  }

  /**
   * Returns whether this host lost its connections some time ago and may not open another, although
   * callers need one. It cannot tell such a server from one that has crashed.
   */
  boolean isCutOff(ServerEntry server, MonotonicTime now) {
    if (lostAt.isEmpty()) {
      return false;
    }
    ColdServer cold = context.entry(EngineEntries.COLD_SERVERS).get(server.id());
    MonotonicTime lost = lostAt.get(server.id());
    MonotonicTime kept = keptAt.get(server.id());
    return cold != null
        && !cold.isReported()
        && lost != null
        && kept != null
        && now.since(lost).compareTo(ServerHealth.RESPONSE_TIMEOUT) >= 0
        && now.since(kept).compareTo(ServerHealth.RESPONSE_TIMEOUT) < 0;
  }
}

package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.persimmonwalk.engine.CallerConnection;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The sessions of an entry host. It opens sessions for callers, closes them while the host drains,
 * and runs the periodic work of the traffic thread. Front ends call it on that thread.
 */
public final class Sessions {
  /** How often idle connections, unresponsive servers and the stop request are checked. */
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

  /**
   * How often active workspaces are reported. Tokens expire after 5 s, so 1 s of delay is harmless.
   */
  private static final Duration ACTIVE_REPORT_INTERVAL = Duration.ofMillis(1000);

  /**
   * How long a new caller waits for the first configuration. A host that has just started reads it
   * within about 0.3 s, and a refusal would cost callers one of their few retries. Callers give up
   * a connection that is not ready after 2 s.
   */
  private static final Duration CONFIGURATION_WAIT = Duration.ofMillis(1000);

  private final TrafficContext context;
  private final ServerPools pools;
  private final RateLimiter rateLimiter;
  private final SessionAdmission admission;
  private final SessionOperations operations;
  private final SessionLifetime lifetime;
  private final SessionStorage storage;
  private final Set<Session> sessions = new LinkedHashSet<>();
  private final List<PendingOpen> pendingOpens = new ArrayList<>();
  private MonotonicTime activeReportedAt = MonotonicTime.of(Long.MIN_VALUE / 2);
  private Runnable drained = () -> {};
  private boolean keysWereVerified;

  private Sessions(TrafficContext context) {
    this.context = context;
    this.pools = new ServerPools(context);
    this.rateLimiter = new RateLimiter(context, pools.deadlines());
    this.admission = new SessionAdmission(context, pools, rateLimiter);
    this.operations = new SessionOperations(context, pools, admission);
    this.lifetime = new SessionLifetime(context);
    this.storage = new SessionStorage(context.settings().sessionLimits());
  }

  /** Returns the sessions of a host that has just started: none. */
  public static Sessions create(TrafficContext context) {
    return new Sessions(context);
  }

  /** Schedules the periodic work on the traffic thread. */
  public void start() {
    PeriodicWork.start(context, TICK_INTERVAL, this::tick);
  }

  /**
   * Opens a session or refuses the caller. While the host has no configuration, the caller waits up
   * to 1 s for the first one.
   *
   * @param opened called with the session, unless the caller is refused
   */
  public void open(
      CallerConnection caller,
      DatabaseName database,
      Optional<KeyHash> key,
      Consumer<Session> opened) {
    PendingOpen pending = new PendingOpen(caller, database, key, opened);
    if (context.entry(EngineEntries.CONFIGURATION).isPresent()) {
      pending.run();
      return;
    }
    pendingOpens.add(pending);
    context
        .scheduler()
        .schedule(
            CONFIGURATION_WAIT,
            () -> {
              if (pendingOpens.remove(pending)) {
                pending.run();
              }
            });
  }

  private void openPending() {
    if (!pendingOpens.isEmpty() && context.entry(EngineEntries.CONFIGURATION).isPresent()) {
      List<PendingOpen> waiting = List.copyOf(pendingOpens);
      pendingOpens.clear();
      waiting.forEach(PendingOpen::run);
    }
  }

  /** Opens a session at once; empty if the caller was refused. */
  public Optional<Session> open(
      CallerConnection caller, DatabaseName database, Optional<KeyHash> key) {
    RoutingConfiguration configuration = context.entry(EngineEntries.CONFIGURATION);
    if (!configuration.isPresent()) {
      return refuse(
          caller, FailureCode.OVERLOADED, "this host has no configuration yet; connect again");
    }
    if (!lifetime.acceptsSessions()) {
      return refuse(
          caller, FailureCode.OVERLOADED, "this host is stopping; connect to another host");
    }
    Route route = configuration.routes().get(database);
    if (route == null) {
      return refuse(caller, FailureCode.UNKNOWN_DATABASE, "no route for database " + database);
    }
    Optional<WorkspaceId> workspace = key.map(configuration.keys()::get);
    if (workspace.isEmpty() && !route.open()) {
      return refuse(caller, FailureCode.KEY_REJECTED, "the key belongs to no workspace");
    }
    CallerIdentity identity =
        workspace
            .map(owner -> new CallerIdentity(owner, key))
            .orElseGet(() -> new CallerIdentity(CallerIdentity.ANYONE, Optional.empty()));
    Session session =
        new Session(context, pools, operations, lifetime, storage, caller, database, identity);
    sessions.add(session);
    context.meter().count("session.opened");
    if (identity.key().isPresent()) {
      rateLimiter.reportActive(identity.workspace());
    }
    caller.ready(Optional.empty());
    return Optional.of(session);
  }

  private Optional<Session> refuse(CallerConnection caller, FailureCode code, String detail) {
    context.meter().count("session.refused." + code);
    context
        .log()
        .write(
            "session-refused",
            "code",
            code,
            "version",
            context.entry(EngineEntries.CONFIGURATION).version(),
            "detail",
            detail);
    caller.refuse(Failure.of(code, detail));
    return Optional.empty();
  }

  /** Returns whether the platform should send new callers to this host. */
  public boolean isReady() {
    return context.entry(EngineEntries.CONFIGURATION).isPresent()
        && context.isReadyForCallers()
        && !context.entry(EngineEntries.STOPPING);
  }

  /**
   * Sets the action to run once a stopping host has no sessions left; call before {@link #start}.
   */
  public void whenDrained(Runnable action) {
    drained = action;
  }

  /**
   * Applies changed control state: waiting callers, pools and waiting operations are re-examined.
   */
  public void onSnapshotChanged() {
    openPending();
    pools.onSnapshotChanged();
    rateLimiter.retry();
  }

  /** Counts a status request to a server; returns whether it may be sent. */
  boolean admitStatusRequest(ServerEntry server) {
    return pools.coldServers().admitStatusRequest(server);
  }

  private void tick() {
    MonotonicTime now = context.now();
    openPending();
    pools.tick(now);
    rateLimiter.reportDemand();
    if (now.since(activeReportedAt).compareTo(ACTIVE_REPORT_INTERVAL) >= 0) {
      activeReportedAt = now;
      sessions.stream()
          .filter(Session::needsKey)
          .map(Session::workspace)
          .distinct()
          .forEach(rateLimiter::reportActive);
    }
    lifetime.checkStopRequest(sessions.size());
    if (!lifetime.letsAllGoOn()) {
      List.copyOf(sessions).forEach(Session::endIfDue);
    }
    sessions.removeIf(Session::isClosed);
    if (lifetime.isDraining() && sessions.isEmpty()) {
      drained.run();
    }
    Duration idleLimit = context.entry(EngineEntries.CONFIGURATION).transactionIdleTimeout();
    sessions.forEach(session -> session.expireTransaction(idleLimit));
    boolean verified = context.keysAreVerified();
    if (keysWereVerified != verified) {
      context
          .log()
          .write(verified ? "keys-verified" : "keys-unverified", "sessions", sessions.size());
      keysWereVerified = verified;
    }
  }

  /** An open request that waits until the host has a configuration. */
  private final class PendingOpen {
    private final CallerConnection caller;
    private final DatabaseName database;
    private final Optional<KeyHash> key;
    private final Consumer<Session> opened;

    private PendingOpen(
        CallerConnection caller,
        DatabaseName database,
        Optional<KeyHash> key,
        Consumer<Session> opened) {
      this.caller = caller;
      this.database = database;
      this.key = key;
      this.opened = opened;
    }

    private void run() {
      open(caller, database, key).ifPresent(opened);
    }
  }
}

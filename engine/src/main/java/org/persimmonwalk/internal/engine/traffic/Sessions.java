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
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/** The sessions of a host; the entrance of the traffic thread. */
public final class Sessions {
  /** How often connections, silence and stops are looked at. */
  private static final Duration TICK = Duration.ofMillis(100);

  /** Tokens lapse after 5 s, so a second of delay is no loss. */
  private static final Duration PRESENCE_INTERVAL = Duration.ofMillis(1000);

  /** The platform sends new callers for up to 2 s after a host reports not ready. */
  private static final Duration STILL_SERVING = Duration.ofMillis(2200);

  /**
   * A host that has just started reads the configuration within about 0.3 s; a refusal would cost
   * callers one of their few retries. Callers give up a connection that is not ready after 2 s.
   */
  private static final Duration CONFIGURATION_WAIT = Duration.ofMillis(1000);

  /** A stopping host gives open transactions half of the grace. */
  private static final int TRANSACTION_DIVISOR = 2;

  private final TrafficContext context;
  private final Servers servers;
  private final TokenPurse purse;
  private final SessionAdmission admission;
  private final Set<Session> sessions = new LinkedHashSet<>();
  private final List<Opening> openings = new ArrayList<>();
  private MonotonicTime presenceReportedAt = MonotonicTime.of(Long.MIN_VALUE / 2);
  private MonotonicTime stoppingSince;
  private Runnable drained = () -> {};
  private boolean wasVerified;

  private Sessions(TrafficContext context) {
    this.context = context;
    this.servers = new Servers(context);
    this.purse = new TokenPurse(context);
    this.admission = new SessionAdmission(context, purse);
  }

  /** Returns a host without sessions. */
  public static Sessions create(TrafficContext context) {
    return new Sessions(context);
  }

  /** Starts the regular work on the traffic thread. */
  public void start() {
    context.scheduler().schedule(TICK, this::tick);
  }

  /**
   * Opens a session or refuses the caller, as soon as the host has a configuration.
   *
   * @param opened is given the session, unless the caller is refused
   */
  public void open(
      CallerConnection caller,
      DatabaseName database,
      Optional<KeyHash> key,
      Consumer<Session> opened) {
    Opening opening = new Opening(caller, database, key, opened);
    if (context.entry(EngineEntries.CONFIGURATION).isPresent()) {
      opening.run();
      return;
    }
    openings.add(opening);
    context
        .scheduler()
        .schedule(
            CONFIGURATION_WAIT,
            () -> {
              if (openings.remove(opening)) {
                opening.run();
              }
            });
  }

  private void openWaiting() {
    if (!openings.isEmpty() && context.entry(EngineEntries.CONFIGURATION).isPresent()) {
      List<Opening> waiting = List.copyOf(openings);
      openings.clear();
      waiting.forEach(Opening::run);
    }
  }

  /** Opens a session, or refuses the caller; empty if it was refused. */
  public Optional<Session> open(
      CallerConnection caller, DatabaseName database, Optional<KeyHash> key) {
    RoutingConfiguration configuration = context.entry(EngineEntries.CONFIGURATION);
    if (!configuration.isPresent()) {
      return refuse(caller, FailureCode.OVERLOADED, "no configuration yet; connect again");
    }
    Route route = configuration.routes().get(database);
    if (route == null) {
      return refuse(caller, FailureCode.UNKNOWN_DATABASE, "no route to " + database);
    }
    Optional<WorkspaceId> workspace = key.map(configuration.keys()::get);
    if (workspace.isEmpty() && !route.open()) {
      return refuse(caller, FailureCode.KEY_REJECTED, "the key opens no workspace");
    }
    Identity identity =
        workspace
            .map(owner -> new Identity(owner, key))
            .orElseGet(() -> new Identity(Identity.ANYONE, Optional.empty()));
    Session session = new Session(context, servers, admission, caller, database, identity);
    sessions.add(session);
    context.meter().count("session.opened");
    if (identity.key().isPresent()) {
      purse.reportPresence(identity.workspace());
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

  /** Runs an action once a stopping host has no session left; to be called before the start. */
  public void whenDrained(Runnable action) {
    drained = action;
  }

  /** Follows a change of the control state. */
  public void follow() {
    openWaiting();
    servers.follow();
    purse.retry();
  }

  private void tick() {
    MonotonicTime now = context.now();
    openWaiting();
    servers.tick(now);
    purse.reportDemand();
    if (now.since(presenceReportedAt).compareTo(PRESENCE_INTERVAL) >= 0) {
      presenceReportedAt = now;
      sessions.stream()
          .filter(Session::needsKey)
          .map(Session::workspace)
          .distinct()
          .forEach(purse::reportPresence);
    }
    sessions.removeIf(Session::isClosed);
    if (context.entry(EngineEntries.STOPPING)) {
      stop(now);
    }
    Duration rest = context.entry(EngineEntries.CONFIGURATION).transactionIdle();
    sessions.forEach(session -> session.expireTransaction(rest));
    boolean verified = context.keysAreVerified();
    if (wasVerified != verified) {
      context
          .log()
          .write(verified ? "keys-verified" : "keys-unverified", "sessions", sessions.size());
      wasVerified = verified;
    }
    if (!context.keepsCallers()) {
      List.copyOf(sessions).stream().filter(Session::needsKey).forEach(Session::closeIfIdle);
    }
    context.scheduler().schedule(TICK, this::tick);
  }

  private void stop(MonotonicTime now) {
    if (stoppingSince == null) {
      stoppingSince = now;
      context.log().write("stopping", "sessions", sessions.size());
    }
    Duration elapsed = now.since(stoppingSince);
    if (elapsed.compareTo(STILL_SERVING) > 0) {
      List.copyOf(sessions).forEach(Session::closeIfIdle);
      sessions.removeIf(Session::isClosed);
      if (sessions.isEmpty()) {
        drained.run();
      }
    }
    if (elapsed.compareTo(context.settings().stopGrace().dividedBy(TRANSACTION_DIVISOR)) > 0) {
      List.copyOf(sessions).forEach(Session::abortTransaction);
    }
  }

  /** A caller that waits until the host has a configuration. */
  private final class Opening {
    private final CallerConnection caller;
    private final DatabaseName database;
    private final Optional<KeyHash> key;
    private final Consumer<Session> opened;

    private Opening(
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

package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.FailureCode;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Keeps bulk work from servers whose queue endangers the latency targets of more urgent routes.
 * Such a statement goes to another server, or is held in this host, or is refused as not run if it
 * can't meet its deadline any more. Takes effect for groups with several priorities whose slots are
 * shared by more hosts.
 */
final class UrgencyGate {
  /** Tells callers why a statement was not sent. */
  static final Failure REFUSED =
      Failure.of(
          FailureCode.OVERLOADED,
          "the servers are kept free for more urgent work and can't run it in time; not run");

  /**
   * A statement is sent within this time of its admission: the tokens that it has spent count for
   * the five seconds in which it was admitted, and a withdrawn key may reach servers for no longer.
   */
  static final Duration LONGEST_HOLD = Duration.ofMillis(500);

  /** Held statements are examined again no sooner than this. */
  private static final Duration SHORTEST_PAUSE = Duration.ofMillis(10);

  private static final Runnable NOTHING = () -> {};
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double MILLIS_PER_SECOND = 1000;

  private final TrafficContext context;
  private final GroupServers groupServers;
  private final Headroom headroom = new Headroom();
  private final Map<BackendServerId, BulkTraffic> servers = new HashMap<>();
  private final Map<DatabaseName, RouteWork> works = new HashMap<>();
  private final RouteWork openings = new RouteWork();
  private final Map<DatabaseGroupId, HeldStatements> held = new HashMap<>();
  private final Map<DatabaseGroupId, Runnable> timers = new HashMap<>();
  private final Set<DatabaseGroupId> releasing = new HashSet<>();
  private long sequence;

  UrgencyGate(TrafficContext context, GroupServers groupServers) {
    this.context = context;
    this.groupServers = groupServers;
  }

  /** Returns whether a statement of the route may be sent to the server now. */
  boolean admits(ServerEntry server, Route route) {
    MonotonicTime now = context.now();
    return headroom(route).isEmpty() || !opensAt(server, route, now).isAfter(now);
  }

  /** Returns the servers already tried and those that must not get a statement of the route now. */
  Set<BackendServerId> withClosed(Set<BackendServerId> tried, Route route) {
    if (headroom(route).isEmpty()) {
      return tried;
    }
    Set<BackendServerId> closed = new HashSet<>();
    for (ServerEntry server : serversOf(route.group())) {
      if (!admits(server, route)) {
        closed.add(server.id());
      }
    }
    if (closed.isEmpty()) {
      return tried;
    }
    closed.addAll(tried);
    return closed;
  }

  /**
   * Returns how long a request may wait for a connection. One that has less urgent work beside it
   * waits for longer than usual: bulk work may be ahead of it in the server's queue, and an answer
   * that is late is worth more than a refusal.
   */
  MonotonicTime waitDeadline(Route route, MonotonicTime startedAt, MonotonicTime usual) {
    if (!headroom.hasLessUrgent(
            context.entry(EngineEntries.CONFIGURATION), route.group(), route.priority())
        || !groupServers.areShared(route.group())) {
      return usual;
    }
    Duration left = route.statementTimeout().minus(route.latencyTarget());
    MonotonicTime longest = startedAt.plus(left.compareTo(LONGEST_HOLD) < 0 ? left : LONGEST_HOLD);
    return longest.isAfter(usual) ? longest : usual;
  }

  private double waitMillis(ServerEntry server, MonotonicTime now) {
    return traffic(server.id())
        .queueWait()
        .millis(context.entry(EngineEntries.ZONE_LOADS).usableAt(now).of(server.id()), now);
  }

  /** Counts a statement that is sent to the server; the result must be run when it has ended. */
  Runnable start(ServerEntry server, Route route, WorkspaceId workspace) {
    if (headroom(route).isEmpty()) {
      return NOTHING;
    }
    BulkTraffic traffic = traffic(server.id());
    int priority = route.priority();
    traffic.recordStart(priority);
    if (traffic.limit(priority).isActive()) {
      traffic.limit(priority).recordStart(context.now());
      held(route.group()).shares().recordSent(workspace, context.now());
    }
    return () -> {
      traffic.recordEnd(priority);
      release(route.group());
    };
  }

  /** Records how long a server took to answer a statement with success. */
  void recordAnswer(ServerEntry server, Route route, Duration latency) {
    if (!headroom.hasSeveralLevels(context.entry(EngineEntries.CONFIGURATION), route.group())) {
      return;
    }
    MonotonicTime now = context.now();
    double millis = latency.toNanos() / NANOS_PER_MILLI;
    double work =
        works.computeIfAbsent(route.database(), unused -> new RouteWork()).add(millis, now);
    traffic(server.id()).queueWait().recordAnswer(millis, work, now);
  }

  /** Records how long a server took to accept a connection, which takes a slot too. */
  void recordOpening(ServerEntry server, Duration latency) {
    if (!headroom.hasSeveralLevels(context.entry(EngineEntries.CONFIGURATION), server.group())) {
      return;
    }
    MonotonicTime now = context.now();
    double millis = latency.toNanos() / NANOS_PER_MILLI;
    traffic(server.id()).queueWait().recordOpening(millis, openings.add(millis, now), now);
  }

  /** Records that a server refused a statement as its queue was full. */
  void recordFullQueue(ServerEntry server) {
    traffic(server.id()).queueWait().recordFullQueue(context.now());
  }

  /**
   * Runs the action once a transaction of the route may begin, or the other one if that is too
   * late. Its statements are not held afterwards.
   *
   * @param needsPrimary whether only the primary may run it
   */
  void whenAdmitted(
      Route route,
      WorkspaceId workspace,
      boolean needsPrimary,
      OperationDeadline deadline,
      Runnable admitted,
      Consumer<Failure> refused) {
    MonotonicTime now = context.now();
    if (headroom(route).isEmpty() || admitsAny(route, needsPrimary, now)) {
      admitted.run();
    } else {
      hold(route, workspace, needsPrimary, deadline, now, admitted, refused);
    }
  }

  /** Holds a statement that no server may get now, or refuses it at once. */
  void hold(
      Route route,
      WorkspaceId workspace,
      boolean needsPrimary,
      OperationDeadline deadline,
      MonotonicTime admittedAt,
      Runnable resume,
      Consumer<Failure> refuse) {
    HeldStatement statement =
        new HeldStatement(
            route,
            workspace,
            needsPrimary,
            admittedAt.plus(route.latencyTarget()),
            deadline.limit(admittedAt.plus(LONGEST_HOLD), context),
            sequence++,
            resume,
            refuse);
    MonotonicTime now = context.now();
    HeldStatements others = held(route.group());
    int ahead = others.ahead(statement, now, expected(statement, 0));
    MonotonicTime opensAt = opensAt(statement, now);
    if (isTooLate(statement, ahead, opensAt, now)) {
      refuse(statement);
      return;
    }
    count("held", route);
    for (ServerEntry server : allowed(statement)) {
      traffic(server.id()).limit(route.priority()).recordHeld(now);
    }
    others.add(statement);
    schedule(route.group(), opensAt);
  }

  private void refuse(HeldStatement statement) {
    count("refused", statement.route());
    statement.refuse().accept(REFUSED);
  }

  private void count(String event, Route route) {
    context.meter().count("urgency." + event + ".priority-" + route.priority());
  }

  /** Sends what the servers may get now, and refuses what has become too late. */
  private void release(DatabaseGroupId group) {
    HeldStatements statements = held.get(group);
    if (statements == null || statements.isEmpty() || !releasing.add(group)) {
      return;
    }
    try {
      MonotonicTime next = release(statements);
      if (!statements.isEmpty()) {
        schedule(group, next);
      }
    } finally {
      releasing.remove(group);
    }
  }

  /** Does so in order, and returns when the next of the others may be sent. */
  private MonotonicTime release(HeldStatements statements) {
    MonotonicTime now = context.now();
    MonotonicTime next = now.plus(LONGEST_HOLD);
    int ahead = 0;
    HeldStatement any = statements.any();
    for (HeldStatement statement : statements.inOrder(now, expected(any, 0))) {
      MonotonicTime opensAt = opensAt(statement, now);
      boolean opens = !opensAt.isAfter(now);
      boolean isLate = !opens && isTooLate(statement, ahead, opensAt, now);
      if ((opens || isLate) && statements.remove(statement)) {
        if (opens) {
          statement.resume().run();
        } else {
          refuse(statement);
        }
      } else if (!opens && !isLate) {
        ahead++;
        next = opensAt.isBefore(next) ? opensAt : next;
      }
    }
    return next;
  }

  /** Returns whether a statement can't meet its deadline behind the given number of others. */
  private boolean isTooLate(
      HeldStatement statement, int ahead, MonotonicTime opensAt, MonotonicTime now) {
    return !statement.meetsDeadline(now, expected(statement, ahead))
        || !statement.meetsDeadline(opensAt, expected(statement, 0));
  }

  private void schedule(DatabaseGroupId group, MonotonicTime at) {
    Duration delay = at.since(context.now());
    Duration pause = delay.compareTo(SHORTEST_PAUSE) < 0 ? SHORTEST_PAUSE : delay;
    timers.getOrDefault(group, NOTHING).run();
    timers.put(group, context.scheduler().schedule(pause, () -> release(group)));
  }

  /** Estimates how long a statement takes from now, with the given number to be sent before it. */
  private Duration expected(HeldStatement statement, int ahead) {
    double perSecond = 0;
    double shortestCycle = Double.MAX_VALUE;
    for (ServerEntry server : allowed(statement)) {
      BulkLimit.Load load = load(server, statement.route(), context.now());
      perSecond += traffic(server.id()).limit(statement.priority()).perSecond(load);
      shortestCycle = Math.min(shortestCycle, load.cycleMillis());
    }
    double waitMillis = ahead == 0 ? 0 : ahead * MILLIS_PER_SECOND / perSecond;
    return Duration.ofNanos((long) ((waitMillis + shortestCycle) * NANOS_PER_MILLI));
  }

  private boolean admitsAny(Route route, boolean needsPrimary, MonotonicTime now) {
    List<ServerEntry> allowed = allowed(route.group(), needsPrimary);
    boolean admits = allowed.isEmpty();
    for (ServerEntry server : allowed) {
      admits |= !opensAt(server, route, now).isAfter(now);
    }
    return admits;
  }

  private MonotonicTime opensAt(HeldStatement statement, MonotonicTime now) {
    MonotonicTime earliest = null;
    for (ServerEntry server : allowed(statement)) {
      MonotonicTime opensAt = opensAt(server, statement.route(), now);
      earliest = earliest == null || opensAt.isBefore(earliest) ? opensAt : earliest;
    }
    // Without a server the attempt that follows says why.
    return earliest == null ? now : earliest;
  }

  private MonotonicTime opensAt(ServerEntry server, Route route, MonotonicTime now) {
    BulkTraffic traffic = traffic(server.id());
    BulkLimit.Load load = load(server, route, now);
    BulkLimit limit = traffic.limit(route.priority());
    if (limit.update(load, now)) {
      context
          .log()
          .write(
              limit.isActive() ? "bulk-limited" : "bulk-unlimited",
              "server",
              server.id(),
              "priority",
              route.priority(),
              "waitMs",
              Math.round(load.waitMillis()),
              "headroomMs",
              Math.round(load.headroomMillis()));
    }
    return traffic.opensAt(route.priority(), load, now);
  }

  private BulkLimit.Load load(ServerEntry server, Route route, MonotonicTime now) {
    QueueWait wait = traffic(server.id()).queueWait();
    return new BulkLimit.Load(
        waitMillis(server, now),
        headroom(route).orElse(Double.MAX_VALUE),
        wait.occupiedMillis(),
        server.slots(),
        Math.max(1, context.entry(EngineEntries.FLEET_SIZE)));
  }

  /** Returns the headroom that the route must leave; empty if it is never held. */
  private OptionalDouble headroom(Route route) {
    OptionalDouble millis =
        headroom.millis(
            context.entry(EngineEntries.CONFIGURATION), route.group(), route.priority());
    return millis.isPresent() && groupServers.areShared(route.group())
        ? millis
        : OptionalDouble.empty();
  }

  private List<ServerEntry> allowed(HeldStatement statement) {
    return allowed(statement.group(), statement.needsPrimary());
  }

  private List<ServerEntry> allowed(DatabaseGroupId group, boolean needsPrimary) {
    return needsPrimary ? context.primary(group).map(List::of).orElse(List.of()) : serversOf(group);
  }

  private List<ServerEntry> serversOf(DatabaseGroupId group) {
    List<ServerEntry> found = new ArrayList<>();
    for (ServerEntry server : groupServers.of(group)) {
      if (!server.draining() && !context.isEvacuated(server)) {
        found.add(server);
      }
    }
    return found;
  }

  private BulkTraffic traffic(BackendServerId server) {
    return servers.computeIfAbsent(server, unused -> new BulkTraffic());
  }

  private HeldStatements held(DatabaseGroupId group) {
    return held.computeIfAbsent(group, unused -> new HeldStatements());
  }

  /** Forgets the servers and routes that are gone. */
  void onSnapshotChanged() {
    Map<BackendServerId, ServerEntry> listed = context.entry(EngineEntries.SERVERS);
    servers.keySet().removeIf(server -> !listed.containsKey(server));
    Map<DatabaseName, Route> routes = context.entry(EngineEntries.CONFIGURATION).routes();
    works.keySet().removeIf(database -> !routes.containsKey(database));
  }
}

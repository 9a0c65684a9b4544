package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.EngineSettingsFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.engine.traffic.Session;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Replays a calm load of many workspaces, a few of them large, on hosts of several zones that are
 * short of processor time: replies and answers of the store take 20 to 300 ms and 10 to 100 ms to
 * arrive. The demand of the workspaces falls with their rank as 1 / rank.
 */
final class TokenReplay {
  /** The latency target of the routes, within the range of the deployments in the specification. */
  private static final Duration LATENCY_TARGET = Duration.ofMillis(200);

  private static final Duration DEADLINE = Duration.ofMillis(2000);
  private static final Duration STEP = Duration.ofMillis(10);

  /** How many times the mean demand of a workspace its limit is. */
  private static final double HEADROOM = 1.6;

  private static final double LOWEST_LIMIT = 2;

  /** Each workspace has sessions at this many hosts; other hosts get a session now and then. */
  private static final int USUAL_HOSTS = 4;

  private static final double OTHER_HOST = 0.25;
  private static final int SHORTEST_REPLY_MILLIS = 20;
  private static final int LONGEST_REPLY_MILLIS = 300;
  private static final int SHORTEST_ANSWER_MILLIS = 10;
  private static final int LONGEST_ANSWER_MILLIS = 100;

  final EngineFixture fixture;
  private final int hosts;
  private final List<WorkspaceId> workspaces = new ArrayList<>();
  private final List<KeyHash> keys = new ArrayList<>();
  private final double[] cumulated;
  private final double perSecond;
  private final Map<Integer, Session> sessions = new HashMap<>();
  private final SplittableRandom random;
  private final Map<Integer, Deque<MonotonicTime>> unanswered = new HashMap<>();
  private int sent;
  private int late;

  /** Starts hosts and publishes the limits; no session is open yet. */
  TokenReplay(int hosts, int zones, int workspaceCount, double perSecond, long seed) {
    this.hosts = hosts;
    this.perSecond = perSecond;
    this.random = new SplittableRandom(seed);
    this.fixture =
        new EngineFixture(hosts, zones, EngineSettingsFixture.USUAL_BOUNDS, StoreEra.of(1));
    this.cumulated = new double[workspaceCount];
    double sum = 0;
    for (int i = 0; i < workspaceCount; i++) {
      workspaces.add(WorkspaceId.of("w" + i));
      keys.add(KeyHash.ofKey("key" + i));
      sum += 1.0 / (i + 1);
      cumulated[i] = sum;
    }
    publishLimits(sum);
    SplittableRandom delays = random.split();
    for (int number = 0; number < hosts; number++) {
      fixture.exchanges.delayReplies(
          EngineSettingsFixture.of(number, zones, EngineSettingsFixture.USUAL_BOUNDS)
              .peerEndpoint(),
          () -> Duration.ofMillis(delays.nextInt(SHORTEST_REPLY_MILLIS, LONGEST_REPLY_MILLIS + 1)));
    }
    fixture.storeAnswerDelay =
        () -> Duration.ofMillis(delays.nextInt(SHORTEST_ANSWER_MILLIS, LONGEST_ANSWER_MILLIS + 1));
  }

  private void publishLimits(double sum) {
    RoutingConfiguration base = EngineFixture.configuration(2, 100, Map.of());
    Map<KeyHash, WorkspaceId> byKey = new HashMap<>();
    Map<WorkspaceId, RateLimit> limits = new HashMap<>();
    for (int i = 0; i < workspaces.size(); i++) {
      byKey.put(keys.get(i), workspaces.get(i));
      double limit = Math.max(LOWEST_LIMIT, Math.ceil(perSecond / sum / (i + 1) * HEADROOM));
      limits.put(workspaces.get(i), new RateLimit(limit, limit));
    }
    Map<DatabaseName, Route> routes = new HashMap<>();
    base.routes().values().forEach(route -> routes.put(route.database(), withDeadline(route)));
    fixture.publish(
        new RoutingConfiguration(
            2, routes, base.groups(), byKey, limits, base.transactionIdleTimeout()));
  }

  private static Route withDeadline(Route route) {
    return new Route(
        route.database(),
        route.group(),
        route.kind(),
        DEADLINE,
        LATENCY_TARGET,
        route.priority(),
        route.maximumStaleness(),
        route.open());
  }

  /** Opens sessions of all workspaces at their usual hosts. */
  void openSessions() {
    for (int i = 0; i < workspaces.size(); i++) {
      for (int j = 0; j < USUAL_HOSTS; j++) {
        session(i, usualHost(i, j));
      }
    }
  }

  /** Sends operations at random times, to hosts of the given numbers only. */
  void send(Duration duration, List<Integer> reachable) {
    for (long at = 0; at < duration.toMillis(); at += STEP.toMillis()) {
      double due = perSecond * STEP.toMillis() / 1000;
      while (due > 0 && random.nextDouble() < due) {
        sendOne(reachable);
        due--;
      }
      fixture.run(STEP);
    }
  }

  void send(Duration duration) {
    List<Integer> all = new ArrayList<>();
    for (int number = 0; number < hosts; number++) {
      all.add(number);
    }
    send(duration, all);
  }

  private void sendOne(List<Integer> reachable) {
    int workspace = 0;
    double at = random.nextDouble() * cumulated[cumulated.length - 1];
    while (cumulated[workspace] < at) {
      workspace++;
    }
    int host;
    do {
      host =
          random.nextDouble() < OTHER_HOST
              ? random.nextInt(hosts)
              : usualHost(workspace, random.nextInt(USUAL_HOSTS));
    } while (!reachable.contains(host));
    sent++;
    Session session = session(workspace, host);
    unanswered.get(workspace * hosts + host).addLast(fixture.clock.now());
    session.receive(RequestId.of("q" + sent), new Statement.Data(false, "READ x"));
  }

  private int usualHost(int workspace, int number) {
    return (workspace * 7 + number * 5) % hosts;
  }

  private Session session(int workspace, int number) {
    Engine host = fixture.hosts.get(number);
    int index = workspace * hosts + number;
    return sessions.computeIfAbsent(index, unused -> open(index, host, keys.get(workspace)));
  }

  private Session open(int index, Engine host, KeyHash key) {
    Deque<MonotonicTime> waiting = new ArrayDeque<>();
    unanswered.put(index, waiting);
    FakeCaller caller = new FakeCaller();
    caller.onAnswer(
        () -> {
          Duration taken = fixture.clock.now().since(waiting.removeFirst());
          late += caller.last().succeeded() && taken.compareTo(LATENCY_TARGET) > 0 ? 1 : 0;
        });
    return host.sessions()
        .open(caller, DatabaseName.of(RouteKind.PRIMARY.name()), Optional.of(key))
        .orElseThrow();
  }

  int late() {
    return late;
  }

  int sent() {
    return sent;
  }

  long refused(String reason) {
    return fixture.events.stream()
        .filter(event -> event.startsWith("operation-refused") && event.contains(reason))
        .count();
  }

  int tokenConflicts() {
    return fixture.conflictsByPurpose.getOrDefault("take-tokens", 0);
  }

  /** Returns the counts in one line. */
  String summary() {
    return "sent "
        + sent
        + ", reached servers "
        + fixture.servers.sent().size()
        + ", late "
        + late
        + ", no token "
        + refused("no rate tokens")
        + ", over rate "
        + refused("over its rate")
        + ", refused "
        + refused("")
        + ", transactions "
        + fixture.transactionsByPurpose
        + ", conflicts "
        + fixture.conflictsByPurpose;
  }
}

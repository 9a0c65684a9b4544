package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.persimmonwalk.engine.testing.FakeScheduler;
import org.persimmonwalk.internal.engine.traffic.ServerChoice.Candidate;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FakeClock;

/**
 * Hosts of several zones that send reads to groups of three servers. Each host knows its own
 * samples, and if the zones report, the sums of its zone as of the last report.
 */
final class SimulatedFleet {
  static final int SERVERS_PER_GROUP = 3;

  private static final int ZONES = 3;
  private static final int WORKSPACES_PER_HOST = 3;
  private static final int SLOTS = 5;
  private static final double SERVICE_MILLIS = 20;
  private static final double NETWORK_MILLIS = 2;
  private static final double CONNECT_MILLIS = 12;
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);

  final List<SimulatedServer> servers = new ArrayList<>();
  int requests;
  int openedConnections;

  /** How long an idle connection stays open. */
  Duration idleTimeout = ConnectionShare.EXTRA_CONNECTION_IDLE_TIMEOUT;

  private final FakeClock clock = new FakeClock();
  private final FakeScheduler scheduler = new FakeScheduler(clock);
  private final SplittableRandom random = new SplittableRandom(11);
  private final List<SimulatedHost> hosts = new ArrayList<>();
  private final double requestsPerSecond;

  SimulatedFleet(
      int hostCount,
      int groups,
      double requestsPerSecond,
      Function<RandomSource, ServerChoice> choice) {
    this.requestsPerSecond = requestsPerSecond;
    for (int i = 0; i < groups * SERVERS_PER_GROUP; i++) {
      servers.add(SimulatedServer.ofSlots(scheduler, SLOTS));
    }
    for (int i = 0; i < hostCount; i++) {
      hosts.add(new SimulatedHost(i % ZONES, choice.apply(RandomSource.seeded(100 + i))));
    }
    scheduleArrival();
  }

  /** Lets the hosts of each zone report what they see of the servers. */
  void startReports() {
    scheduler.schedule(REPORT_INTERVAL, this::report);
  }

  /** Makes the hosts forget what was reported and report no more, as without a relay. */
  void stopReports() {
    hosts.forEach(host -> host.reports = false);
  }

  /** Runs for some time and returns the requests that each server got in it. */
  List<Integer> run(Duration duration) {
    servers.forEach(server -> server.received = 0);
    scheduler.advance(duration);
    return servers.stream().map(server -> server.received).toList();
  }

  /** Returns the highest number in relation to the mean. */
  static double busiestToMean(List<Integer> received) {
    double mean = received.stream().mapToInt(Integer::intValue).average().orElseThrow();
    return received.stream().mapToInt(Integer::intValue).max().orElseThrow() / mean;
  }

  private void scheduleArrival() {
    double seconds = -Math.log(1 - random.nextDouble()) / requestsPerSecond;
    scheduler.schedule(
        Duration.ofNanos((long) (seconds * 1e9)),
        () -> {
          int group = random.nextInt(servers.size() / SERVERS_PER_GROUP);
          hosts.get(random.nextInt(hosts.size())).read(group);
          scheduleArrival();
        });
  }

  private void report() {
    for (SimulatedHost host : hosts) {
      host.reports = true;
      for (int server = 0; server < servers.size(); server++) {
        double outstanding = 0;
        double latency = 0;
        double answers = 0;
        for (SimulatedHost other : hosts) {
          if (other.zone == host.zone) {
            outstanding += other == host ? 0 : other.outstanding[server];
            latency += other.latencySum[server];
            answers += other.answers[server];
          }
        }
        host.reportedOutstanding[server] = outstanding * ZONES;
        host.reportedLatency[server] = answers == 0 ? 0 : latency / answers;
        host.reportedAnswers[server] = answers;
      }
    }
    for (SimulatedHost host : hosts) {
      host.decayReports();
    }
    scheduler.schedule(REPORT_INTERVAL, this::report);
  }

  /** One host with connections of several workspaces. */
  private final class SimulatedHost {
    /** The part of the older answers that a report keeps, so that it covers about a second. */
    private static final double KEPT = 0.75;

    private final int zone;
    private final ServerChoice choice;
    private final ServerHealth[] health = new ServerHealth[servers.size()];
    private final int[] outstanding = new int[servers.size()];
    private final double[] latencySum = new double[servers.size()];
    private final double[] answers = new double[servers.size()];
    private final double[] reportedOutstanding = new double[servers.size()];
    private final double[] reportedLatency = new double[servers.size()];
    private final double[] reportedAnswers = new double[servers.size()];
    private final Map<Integer, MonotonicTime> connections = new HashMap<>();
    private boolean reports;

    private SimulatedHost(int zone, ServerChoice choice) {
      this.zone = zone;
      this.choice = choice;
      for (int i = 0; i < health.length; i++) {
        health[i] = new ServerHealth(clock.now());
      }
    }

    private void decayReports() {
      for (int i = 0; i < answers.length; i++) {
        latencySum[i] *= KEPT;
        answers[i] *= KEPT;
      }
    }

    private void read(int group) {
      requests++;
      int workspace = random.nextInt(WORKSPACES_PER_HOST);
      List<Candidate> candidates = new ArrayList<>();
      for (int i = 0; i < SERVERS_PER_GROUP; i++) {
        candidates.add(candidate(group * SERVERS_PER_GROUP + i, i, workspace));
      }
      Candidate chosen = choice.choose(candidates).orElseThrow();
      int index = 0;
      while (candidates.get(index) != chosen) {
        index++;
      }
      send(group * SERVERS_PER_GROUP + index, workspace);
    }

    private Candidate candidate(int server, int zoneOfServer, int workspace) {
      double latency = health[server].latencyMillis(clock.now());
      double elsewhere = 0;
      if (reports) {
        latency = ZoneLatency.blend(latency, reportedLatency[server], reportedAnswers[server]);
        elsewhere = reportedOutstanding[server];
      }
      return CandidateBuilder.candidate()
          .zone(zoneOfServer == zone)
          .connected(isConnected(server, workspace))
          .slots(SLOTS)
          .latencyMillis(latency)
          .outstanding(outstanding[server])
          .outstandingElsewhere(elsewhere)
          .reportedAnswers(reports ? reportedAnswers[server] : 0)
          .build();
    }

    private boolean isConnected(int server, int workspace) {
      MonotonicTime lastUsed = connections.get(server * WORKSPACES_PER_HOST + workspace);
      return lastUsed != null && clock.now().since(lastUsed).compareTo(idleTimeout) < 0;
    }

    private void send(int server, int workspace) {
      SimulatedServer target = servers.get(server);
      target.received++;
      boolean opens = !isConnected(server, workspace);
      openedConnections += opens ? 1 : 0;
      connections.put(server * WORKSPACES_PER_HOST + workspace, clock.now());
      MonotonicTime sentAt = clock.now();
      outstanding[server]++;
      double work = SERVICE_MILLIS * target.slowness * (0.5 + random.nextDouble());
      target.run(
          work + (opens ? CONNECT_MILLIS : 0) + NETWORK_MILLIS,
          () -> {
            outstanding[server]--;
            Duration latency = clock.now().since(sentAt);
            health[server].recordLatency(latency, clock.now());
            latencySum[server] += latency.toNanos() / 1e6;
            answers[server]++;
          });
    }
  }
}

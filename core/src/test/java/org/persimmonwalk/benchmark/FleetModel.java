package org.persimmonwalk.benchmark;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import org.persimmonwalk.admission.QueuedRequest;
import org.persimmonwalk.admission.SchedulerStep;
import org.persimmonwalk.admission.ServerScheduler;
import org.persimmonwalk.admission.Urgency;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.result.StatementState;
import org.persimmonwalk.retry.FailedAttempt;
import org.persimmonwalk.retry.RetryBackoff;
import org.persimmonwalk.retry.RetryPolicy;
import org.persimmonwalk.routing.StatementKind;

/**
 * A discrete-event simulation of entry hosts in front of one backend server. Each host schedules
 * its statements with a {@link ServerScheduler}. The server runs as many statements at once as it
 * has slots and queues the others in the order of their arrival.
 */
final class FleetModel {
  static final int HOSTS = 20;
  static final int WORKSPACES = 8;

  /** The share of the total load of each workspace: two large ones and six small ones. */
  static final double[] LOAD_SHARES = {.3, .25, .075, .075, .075, .075, .075, .075};

  /** The mean over all urgencies, in the proportions in which {@link #arrive} draws them. */
  private static final double MEAN_SERVICE_MILLISECONDS = 10;

  private static final long CALLER_ROUND_TRIP_NANOS = 6_000_000;
  private static final Duration DEADLINE = Duration.ofSeconds(1);

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<ServerScheduler<Statement>> hosts = new ArrayList<>();
  private final List<RetryPolicy> hostRetryPolicies = new ArrayList<>();
  private final MonotonicTime[] wakeUps = new MonotonicTime[HOSTS];
  private final List<Statement> serverQueue = new ArrayList<>();
  private final RetryBackoff backoff;
  private final int slots;
  private final Statistics statistics;
  private MonotonicTime now = MonotonicTime.of(0);
  private MonotonicTime outageFrom = MonotonicTime.of(Long.MAX_VALUE / 2);
  private MonotonicTime outageUntil = outageFrom;
  private long sequence;
  private int busySlots;

  FleetModel(
      int slots,
      IntFunction<ServerScheduler<Statement>> schedulers,
      IntFunction<RetryPolicy> retryPolicies,
      long seed,
      Statistics statistics) {
    this.slots = slots;
    this.statistics = statistics;
    this.backoff = RetryBackoff.of(RandomSource.seeded(seed));
    for (int host = 0; host < HOSTS; host++) {
      hosts.add(schedulers.apply(host));
      hostRetryPolicies.add(retryPolicies.apply(host));
    }
  }

  /**
   * Starts the arrival of statements from all workspaces.
   *
   * @param utilization the total load as a multiple of what the server can run
   * @param factors for each workspace, the multiple of its normal share that it sends
   */
  void load(double utilization, double[] factors, long seed) {
    for (int workspace = 0; workspace < WORKSPACES; workspace++) {
      double perSecond =
          utilization * slots * 1000 / MEAN_SERVICE_MILLISECONDS * LOAD_SHARES[workspace];
      if (factors[workspace] > 0) {
        SplittableRandom random = new SplittableRandom(seed * 31 + workspace);
        scheduleArrival(workspace, perSecond * factors[workspace], random);
      }
    }
  }

  /** Makes the server refuse all statements that reach it during the given time. */
  void scheduleOutage(Duration from, Duration until) {
    outageFrom = MonotonicTime.of(from.toNanos());
    outageUntil = MonotonicTime.of(until.toNanos());
  }

  void run(Duration until) {
    MonotonicTime end = MonotonicTime.of(until.toNanos());
    while (!events.isEmpty() && events.peek().time().isBefore(end)) {
      Event event = events.poll();
      now = event.time();
      event.action().run();
    }
  }

  private void scheduleArrival(int workspace, double perSecond, SplittableRandom random) {
    schedule(
        (long) (exponential(random) * 1e9 / perSecond),
        () -> {
          arrive(workspace, random);
          scheduleArrival(workspace, perSecond, random);
        });
  }

  private void arrive(int workspace, SplittableRandom random) {
    double draw = random.nextDouble();
    Urgency urgency = draw < .6 ? Urgency.URGENT : draw < .9 ? Urgency.NORMAL : Urgency.BULK;
    double mean = urgency == Urgency.URGENT ? 5 : urgency == Urgency.NORMAL ? 10 : 40;
    Statement statement =
        new Statement(
            workspace,
            random.nextInt(HOSTS),
            urgency,
            (long) (exponential(random) * mean * 1e6),
            now);
    statistics.arrived(statement, now);
    submit(statement);
  }

  private void submit(Statement statement) {
    if (!now.isBefore(statement.deadline())) {
      return;
    }
    statement.request =
        new QueuedRequest<>(
            statement,
            WorkspaceId.of("workspace-" + statement.workspace),
            StatementKind.READ,
            statement.urgency,
            statement.deadline());
    apply(statement.host, hosts.get(statement.host).submit(statement.request, now));
  }

  private void apply(int host, SchedulerStep<Statement> step) {
    step.started().forEach(request -> start(request.payload()));
    step.wakeAt()
        .filter(time -> wakeUps[host] == null || time.isBefore(wakeUps[host]))
        .ifPresent(time -> wake(host, time));
  }

  private void wake(int host, MonotonicTime time) {
    wakeUps[host] = time;
    schedule(
        Math.max(0, time.since(now).toNanos()),
        () -> {
          if (time.equals(wakeUps[host])) {
            wakeUps[host] = null;
            apply(host, hosts.get(host).advance(now));
          }
        });
  }

  private void start(Statement statement) {
    statement.startedAt = now;
    statement.attempts++;
    statistics.started(statement, now);
    if (statement.attempts == 1) {
      hostRetryPolicies.get(statement.host).recordFirstAttempt(now);
    }
    schedule(oneWayNanos(statement.host), () -> reachServer(statement));
  }

  private void reachServer(Statement statement) {
    if (!now.isBefore(outageFrom) && now.isBefore(outageUntil)) {
      schedule(oneWayNanos(statement.host), () -> fail(statement));
    } else if (busySlots < slots) {
      busySlots++;
      execute(statement);
    } else {
      serverQueue.add(statement);
    }
  }

  private void execute(Statement statement) {
    schedule(
        statement.serviceNanoseconds,
        () -> {
          schedule(oneWayNanos(statement.host), () -> answer(statement));
          if (serverQueue.isEmpty()) {
            busySlots--;
          } else {
            execute(serverQueue.remove(0));
          }
        });
  }

  private void answer(Statement statement) {
    Duration latency = now.since(statement.arrivedAt).plusNanos(CALLER_ROUND_TRIP_NANOS);
    statistics.answered(statement, latency, now.isBefore(statement.deadline()));
    complete(statement, true);
  }

  private void fail(Statement statement) {
    complete(statement, false);
    FailedAttempt attempt =
        new FailedAttempt(StatementKind.READ, StatementState.NOT_RUN, false, statement.attempts);
    if (hostRetryPolicies.get(statement.host).mayRetry(attempt, now)) {
      schedule(backoff.delay(statement.attempts).toNanos(), () -> submit(statement));
    }
  }

  private void complete(Statement statement, boolean succeeded) {
    Duration duration = now.since(statement.startedAt);
    ServerScheduler<Statement> scheduler = hosts.get(statement.host);
    apply(statement.host, scheduler.complete(statement.request, duration, succeeded, now));
  }

  /** Returns the latency to the server. One third of the hosts is in the zone of the server. */
  private static long oneWayNanos(int host) {
    return host % 3 == 0 ? 100_000 : 1_500_000;
  }

  private void schedule(long nanoseconds, Runnable action) {
    events.add(new Event(now.plus(Duration.ofNanos(nanoseconds)), sequence++, action));
  }

  private static double exponential(SplittableRandom random) {
    return -Math.log(1 - random.nextDouble());
  }

  /** A statement of a caller, with its attempts so far. */
  static final class Statement {
    final int workspace;
    final int host;
    final Urgency urgency;
    final long serviceNanoseconds;
    final MonotonicTime arrivedAt;
    int attempts;
    private MonotonicTime startedAt;
    private QueuedRequest<Statement> request;

    private Statement(
        int workspace,
        int host,
        Urgency urgency,
        long serviceNanoseconds,
        MonotonicTime arrivedAt) {
      this.workspace = workspace;
      this.host = host;
      this.urgency = urgency;
      this.serviceNanoseconds = serviceNanoseconds;
      this.arrivedAt = arrivedAt;
    }

    private MonotonicTime deadline() {
      return arrivedAt.plus(DEADLINE);
    }
  }

  private record Event(MonotonicTime time, long sequence, Runnable action)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int order = time.compareTo(other.time);
      return order != 0 ? order : Long.compare(sequence, other.sequence);
    }
  }
}

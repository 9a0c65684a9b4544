package org.persimmonwalk.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonwalk.admission.Requests.START;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.result.ResultCode;

class ServerSchedulerTest {
  private static final Duration SERVICE = Duration.ofMillis(10);

  /** Guards against more statements in flight than the limit and the reserved slots allow. */
  @Test
  void shouldStartWithinLimitAndReservedSlots() {
    ServerScheduler<String> scheduler = scheduler(FixedLimit.of(2), 100);
    int started = 0;
    for (int request = 0; request < 50; request++) {
      started += scheduler.submit(request("a"), START).started().size();
    }

    assertThat(started).isEqualTo(4);
    assertThat(scheduler.outstanding()).isEqualTo(50);
  }

  /** Guards against a short statement that waits behind a heavy one of a busy workspace. */
  @Test
  void shouldStartWorkspaceBelowItsShareBeyondTheLimit() {
    ServerScheduler<String> scheduler = scheduler(FixedLimit.of(1), 1000);
    List<QueuedRequest<String>> running = new ArrayList<>();
    for (int request = 0; request < 400; request++) {
      running.addAll(scheduler.submit(request("busy"), START).started());
    }
    while (running.size() > 1 || !running.isEmpty() && scheduler.outstanding() > 100) {
      QueuedRequest<String> done = running.remove(0);
      running.addAll(scheduler.complete(done, SERVICE, true, START).started());
    }

    QueuedRequest<String> light = request("light");
    assertThat(scheduler.submit(light, START).started()).containsExactly(light);
  }

  /** Guards against callers that learn of a missed deadline only when the server answers. */
  @Test
  void shouldWakeUpForDeadlineWhileTheServerHangs() {
    ServerScheduler<String> scheduler = scheduler(FixedLimit.of(1), 100);
    for (int request = 0; request < 3; request++) {
      scheduler.submit(request("a"), START);
    }
    QueuedRequest<String> late = Requests.of("a", Urgency.NORMAL, "late", Duration.ofMillis(200));
    MonotonicTime wakeAt = scheduler.submit(late, START).wakeAt().orElseThrow();

    assertThat(wakeAt).isEqualTo(late.deadline());
    assertThat(scheduler.advance(wakeAt).refused())
        .containsExactly(new RefusedRequest<>(late, ResultCode.DEADLINE_UNREACHABLE));
  }

  /** Guards against a cancelled statement that runs, and a statement that is completed twice. */
  @Test
  void shouldNotStartCancelledRequestNorCountCompletionTwice() {
    ServerScheduler<String> scheduler = scheduler(FixedLimit.of(1), 100);
    List<QueuedRequest<String>> requests = new ArrayList<>();
    for (int request = 0; request < 5; request++) {
      requests.add(request("a"));
      scheduler.submit(requests.get(request), START);
    }
    assertThat(scheduler.cancel(requests.get(0))).isFalse();
    assertThat(scheduler.cancel(requests.get(3))).isTrue();
    scheduler.complete(requests.get(0), SERVICE, true, START);
    scheduler.complete(requests.get(0), SERVICE, true, START);

    assertThat(scheduler.outstanding()).isEqualTo(3);
    scheduler.complete(requests.get(1), SERVICE, true, START);
    scheduler.complete(requests.get(2), SERVICE, true, START);
    assertThat(scheduler.outstanding()).isEqualTo(1);
  }

  /** Guards against starts without spacing when one statement per host is too many. */
  @Test
  void shouldSpaceStartsBelowOneSlot() {
    AdaptiveLimit limit = lowLimit(500);
    ServiceTimes times = ServiceTimes.create();
    ServerScheduler<String> scheduler =
        ServerScheduler.of(FirstInFirstOutQueue.of(10), limit, times);
    QueuedRequest<String> first = request("a");
    scheduler.submit(first, START);
    scheduler.submit(request("a"), START);
    MonotonicTime wakeAt =
        scheduler.complete(first, Duration.ZERO, false, START).wakeAt().orElseThrow();

    assertThat(wakeAt.since(START)).isEqualTo(limit.spacing(ServiceTimes.DEFAULT));
    assertThat(scheduler.advance(wakeAt.minus(Duration.ofNanos(1))).started()).isEmpty();
    assertThat(scheduler.advance(wakeAt).started()).hasSize(1);
  }

  /** Guards against a light workspace that has to wait for the start spacing of a busy one. */
  @Test
  void shouldWakeUpWhenWorkspaceBelowItsShareMayStart() {
    ServerScheduler<String> scheduler = scheduler(lowLimit(5_000), 100);
    SchedulerStep<String> step = scheduler.submit(request("light"), START);
    for (int request = 0; request < 20 && !step.started().isEmpty(); request++) {
      scheduler.complete(step.started().get(0), Duration.ZERO, false, START);
      step = scheduler.submit(request("light"), START);
    }
    MonotonicTime wakeAt = step.wakeAt().orElseThrow();

    assertThat(wakeAt.since(START)).isLessThanOrEqualTo(Duration.ofMillis(250));
    assertThat(scheduler.advance(wakeAt).started()).hasSize(1);
  }

  /** Guards against races between threads that lose a request or start it twice. */
  @Test
  void shouldEndEachRequestOnceWithSeveralThreads() throws Exception {
    BackendServerId server = BackendServerId.of("a");
    ServerSchedulers<String> schedulers =
        ServerSchedulers.of(id -> scheduler(FixedLimit.of(3), 16));
    AtomicInteger ended = new AtomicInteger();
    ExecutorService threads = Executors.newFixedThreadPool(4);
    try {
      List<Future<?>> tasks = new ArrayList<>();
      for (int thread = 0; thread < 4; thread++) {
        String workspace = "w" + thread;
        tasks.add(
            threads.submit(
                () -> {
                  for (int request = 0; request < 2_000; request++) {
                    finish(schedulers.get(server), request(workspace), ended);
                  }
                }));
      }
      for (Future<?> task : tasks) {
        task.get();
      }
    } finally {
      threads.shutdown();
    }

    assertThat(ended).hasValue(8_000);
    assertThat(schedulers.outstanding(server)).isZero();
  }

  private static void finish(
      ServerScheduler<String> scheduler, QueuedRequest<String> request, AtomicInteger ended) {
    SchedulerStep<String> step = scheduler.submit(request, START);
    List<QueuedRequest<String>> running = new ArrayList<>(step.started());
    ended.addAndGet(step.refused().size());
    while (!running.isEmpty()) {
      ended.incrementAndGet();
      step = scheduler.complete(running.remove(0), SERVICE, true, START);
      running.addAll(step.started());
      ended.addAndGet(step.refused().size());
    }
  }

  private static AdaptiveLimit lowLimit(int slowAnswers) {
    AdaptiveLimit limit = AdaptiveLimit.of(50);
    for (int answer = 0; answer < slowAnswers; answer++) {
      limit.record(SERVICE.multipliedBy(5), SERVICE, true);
    }
    return limit;
  }

  private static QueuedRequest<String> request(String workspace) {
    return Requests.of(workspace, Urgency.NORMAL, workspace);
  }

  private static ServerScheduler<String> scheduler(ConcurrencyLimit limit, int capacity) {
    ServiceTimes times = ServiceTimes.create();
    return ServerScheduler.of(
        FairQueue.of(capacity, WorkspaceWeights.equal(), times), limit, times);
  }
}

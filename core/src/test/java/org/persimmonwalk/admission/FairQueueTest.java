package org.persimmonwalk.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;
import static org.persimmonwalk.admission.Requests.START;
import static org.persimmonwalk.admission.Requests.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.result.StatementState;

class FairQueueTest {
  private final ServiceTimes serviceTimes = ServiceTimes.create();

  /** Guards against short urgent statements that wait behind a queue of heavy bulk statements. */
  @Test
  void shouldServeUrgentStatementBeforeHeavyBulkStatements() {
    RequestQueue<String> queue = queue(100);
    measure(serviceTimes, "heavy", Urgency.BULK, 100);
    fill(queue, "heavy", Urgency.BULK, 50);
    queue.poll(START);
    queue.offer(Requests.of("filing", Urgency.URGENT, "filing"), START);

    assertThat(poll(queue, 2)).contains("filing");
  }

  /** Guards against a stream of urgent statements that keeps bulk statements from running. */
  @Test
  void shouldGiveUrgentPrecedenceAtMostEverySecondTime() {
    RequestQueue<String> queue = queue(100);
    fill(queue, "bulk", Urgency.BULK, 20);
    fill(queue, "urgent", Urgency.URGENT, 20);

    assertThat(poll(queue, 10)).filteredOn("urgent"::equals).hasSize(5);
  }

  /** Guards against shares counted in statements, which would favour heavy statements. */
  @Test
  void shouldShareServiceTimeAndNotStatements() {
    RequestQueue<String> queue = queue(1000);
    measure(serviceTimes, "heavy", Urgency.NORMAL, 50);
    measure(serviceTimes, "short", Urgency.NORMAL, 5);
    fill(queue, "heavy", Urgency.NORMAL, 400);
    fill(queue, "short", Urgency.NORMAL, 600);

    assertThat(poll(queue, 440)).filteredOn("heavy"::equals).hasSizeBetween(36, 60);
  }

  /** Guards against weights that have no effect. */
  @Test
  void shouldServeByWeight() {
    WorkspaceWeights weights = workspace -> workspace.value().equals("large") ? 3 : 1;
    RequestQueue<String> queue = FairQueue.of(2000, weights, serviceTimes);
    fill(queue, "large", Urgency.NORMAL, 1000);
    fill(queue, "small", Urgency.NORMAL, 1000);

    assertThat(poll(queue, 1000)).filteredOn("large"::equals).hasSizeBetween(745, 755);
  }

  /** Guards against an unbounded queue, and against one workspace that fills the queue. */
  @Test
  void shouldDropNewestLeastUrgentEntryOfLongestQueueWhenFull() {
    RequestQueue<String> queue = queue(4);
    queue.offer(Requests.of("a", Urgency.BULK, "old bulk"), START);
    queue.offer(Requests.of("a", Urgency.BULK, "new bulk"), START);
    queue.offer(Requests.of("a", Urgency.URGENT, "urgent"), START);
    queue.offer(Requests.of("b", Urgency.NORMAL, "first"), START);

    List<RefusedRequest<String>> refused =
        queue.offer(Requests.of("b", Urgency.BULK, "second"), START);

    assertThat(refused)
        .extracting(entry -> entry.request().payload(), RefusedRequest::code)
        .containsExactly(tuple("new bulk", ResultCode.QUEUE_FULL));
    assertThat(poll(queue, 5)).containsExactlyInAnyOrder("old bulk", "urgent", "first", "second");
  }

  /** Guards against statements that are refused only after waiting until their deadline. */
  @Test
  void shouldRefuseOnArrivalWhatTheServiceRateCannotReach() {
    RequestQueue<String> queue = queue(1000);
    measure(serviceTimes, "a", Urgency.NORMAL, 50);
    fill(queue, "a", Urgency.NORMAL, 100);
    MonotonicTime now = START;
    for (int turn = 0; turn < 20; turn++) {
      now = now.plus(Duration.ofMillis(100));
      queue.poll(now);
    }

    Duration reachable = Duration.ofMillis(2_000 + 80 * 100);
    assertThat(queue.offer(request(reachable.minusMillis(500)), now))
        .extracting(RefusedRequest::code)
        .containsExactly(ResultCode.DEADLINE_UNREACHABLE);
    assertThat(queue.offer(request(reachable.plusMillis(500)), now)).isEmpty();
  }

  /** Guards against a slow statement after which all later ones of its class are refused. */
  @Test
  void shouldIgnoreOldServiceTimes() {
    RequestQueue<String> queue = queue(10);
    measure(serviceTimes, "a", Urgency.BULK, 5_000);
    MonotonicTime later = START.plus(ServiceTimes.MAXIMUM_AGE).plus(Duration.ofNanos(1));

    assertThat(queue.offer(request(Duration.ofSeconds(1)), START)).hasSize(1);
    assertThat(queue.offer(request(Duration.ofSeconds(11)), later)).isEmpty();
  }

  /** Guards against a statement that runs although its caller has cancelled it. */
  @Test
  void shouldNotServeRemovedRequest() {
    RequestQueue<String> queue = queue(10);
    QueuedRequest<String> cancelled = Requests.of("a", Urgency.NORMAL, "same");
    QueuedRequest<String> equal = Requests.of("a", Urgency.NORMAL, "same");
    queue.offer(cancelled, START);
    queue.offer(equal, START);

    assertThat(queue.remove(cancelled)).isTrue();
    assertThat(queue.remove(cancelled)).isFalse();
    assertThat(queue.poll(START).next().orElseThrow()).isSameAs(equal);
    assertThat(queue.poll(START).next()).isEmpty();
  }

  /** Guards against requests of one workspace that start in the wrong order. */
  @Test
  void shouldOrderWorkspaceByUrgencyThenDeadlineThenArrival() {
    RequestQueue<String> queue = queue(10);
    queue.offer(Requests.of("a", Urgency.NORMAL, "third"), START);
    queue.offer(Requests.of("a", Urgency.NORMAL, "fourth"), START);
    queue.offer(Requests.of("a", Urgency.NORMAL, "second", Duration.ofMinutes(1)), START);
    queue.offer(Requests.of("a", Urgency.URGENT, "first"), START);

    assertThat(poll(queue, 4)).containsExactly("first", "second", "third", "fourth");
  }

  /** Guards against requests that are refused and run, run twice, run too late or get lost. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void shouldLetEachRequestLeaveExactlyOnce(boolean fair) {
    SplittableRandom random = new SplittableRandom(7);
    RequestQueue<String> queue = fair ? queue(20) : FirstInFirstOutQueue.of(20);
    Set<QueuedRequest<String>> queued = Collections.newSetFromMap(new IdentityHashMap<>());
    MonotonicTime now = START;
    for (int step = 0; step < 20_000; step++) {
      now = now.plus(Duration.ofMillis(random.nextInt(3)));
      QueuedRequest<String> request =
          Requests.of(
              "w" + random.nextInt(5),
              Urgency.values()[random.nextInt(3)],
              "request",
              now.since(START).plusMillis(random.nextInt(60)));
      queued.add(request);
      List<RefusedRequest<String>> refused = new ArrayList<>(queue.offer(request, now));
      if (random.nextInt(3) == 0) {
        PollResult<String> result =
            random.nextBoolean() ? queue.poll(now) : queue.pollBelowShare(now);
        refused.addAll(result.refused());
        MonotonicTime time = now;
        result.next().ifPresent(next -> assertThat(next.deadline().isAfter(time)).isTrue());
        result.next().ifPresent(next -> assertThat(queued.remove(next)).isTrue());
      }
      for (RefusedRequest<String> entry : refused) {
        assertThat(queued.remove(entry.request())).isTrue();
        assertThat(entry.code().statementState()).isEqualTo(StatementState.NOT_RUN);
      }
      assertThat(queue.size()).isEqualTo(queued.size()).isLessThanOrEqualTo(20);
    }
  }

  private RequestQueue<String> queue(int capacity) {
    return FairQueue.of(capacity, WorkspaceWeights.equal(), serviceTimes);
  }

  private static QueuedRequest<String> request(Duration deadline) {
    return Requests.of("a", Urgency.BULK, "late", deadline);
  }

  private static void fill(RequestQueue<String> queue, String name, Urgency urgency, int count) {
    IntStream.range(0, count)
        .forEach(index -> queue.offer(Requests.of(name, urgency, name), START));
  }

  private static List<String> poll(RequestQueue<String> queue, int count) {
    return IntStream.range(0, count)
        .mapToObj(index -> queue.poll(START).next())
        .flatMap(next -> next.map(QueuedRequest::payload).stream())
        .toList();
  }
}

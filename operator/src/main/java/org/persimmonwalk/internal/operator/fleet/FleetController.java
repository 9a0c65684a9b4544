package org.persimmonwalk.internal.operator.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.SocketEndpoint;

/**
 * Decides which hosts to poll in each round, until every host has reached the goal or the time
 * limit has passed. It keeps at most 32 requests in flight and waits at least 500 ms after a result
 * before it polls the host again.
 */
final class FleetController implements Controller {
  private static final int IN_FLIGHT_LIMIT = 32;
  private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

  private final List<SocketEndpoint> endpoints;
  private final FleetGoal goal;
  private final Duration limit;
  private final Map<SocketEndpoint, HostPollResult> results = new HashMap<>();
  private final Map<SocketEndpoint, MonotonicTime> completedAt = new HashMap<>();
  private final Set<SocketEndpoint> inFlight = new HashSet<>();
  private Optional<MonotonicTime> start = Optional.empty();

  private FleetController(List<SocketEndpoint> endpoints, FleetGoal goal, Duration limit) {
    this.endpoints = endpoints.stream().distinct().toList();
    this.goal = goal;
    this.limit = limit;
  }

  static FleetController of(List<SocketEndpoint> endpoints, FleetGoal goal, Duration limit) {
    return new FleetController(endpoints, goal, limit);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    if (start.isEmpty()) {
      start = Optional.of(now);
    }
    blackboard
        .observations(HostPollCompleted.class)
        .forEach(
            completed -> {
              inFlight.remove(completed.endpoint());
              results.put(completed.endpoint(), completed.result());
              completedAt.put(completed.endpoint(), now);
            });
    boolean expired = now.since(start.get()).compareTo(limit) >= 0;
    int reached = (int) endpoints.stream().filter(this::hasReached).count();
    boolean ended = expired || reached == endpoints.size();
    if (!ended) {
      endpoints.stream()
          .filter(endpoint -> isDue(endpoint, now))
          .limit(IN_FLIGHT_LIMIT - inFlight.size())
          .forEach(
              endpoint -> {
                inFlight.add(endpoint);
                blackboard.submit(new PollHost(endpoint));
              });
    }
    Map<SocketEndpoint, HostPollResult> ordered = new LinkedHashMap<>();
    endpoints.stream()
        .filter(results::containsKey)
        .forEach(endpoint -> ordered.put(endpoint, results.get(endpoint)));
    blackboard.put(FleetView.ENTRY, new FleetView(ordered, reached, ended));
  }

  private boolean hasReached(SocketEndpoint endpoint) {
    HostPollResult result = results.get(endpoint);
    return result != null && goal.isReachedBy(result);
  }

  private boolean isDue(SocketEndpoint endpoint, MonotonicTime now) {
    if (inFlight.contains(endpoint) || hasReached(endpoint)) {
      return false;
    }
    MonotonicTime last = completedAt.get(endpoint);
    return last == null || now.since(last).compareTo(POLL_INTERVAL) >= 0;
  }
}

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

/** Decides which hosts to ask next, until each has reached the goal or the time is over. */
final class FleetController implements Controller {
  private static final int IN_FLIGHT_LIMIT = 32;
  private static final Duration REPEAT_INTERVAL = Duration.ofMillis(500);

  private final List<SocketEndpoint> endpoints;
  private final FleetGoal goal;
  private final Duration limit;
  private final Map<SocketEndpoint, HostAnswer> answers = new HashMap<>();
  private final Map<SocketEndpoint, MonotonicTime> answeredAt = new HashMap<>();
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
        .observations(HostAnswered.class)
        .forEach(
            answered -> {
              inFlight.remove(answered.endpoint());
              answers.put(answered.endpoint(), answered.answer());
              answeredAt.put(answered.endpoint(), now);
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
                blackboard.submit(new AskHost(endpoint));
              });
    }
    Map<SocketEndpoint, HostAnswer> ordered = new LinkedHashMap<>();
    endpoints.stream()
        .filter(answers::containsKey)
        .forEach(endpoint -> ordered.put(endpoint, answers.get(endpoint)));
    blackboard.put(FleetView.ENTRY, new FleetView(ordered, reached, ended));
  }

  private boolean hasReached(SocketEndpoint endpoint) {
    HostAnswer answer = answers.get(endpoint);
    return answer != null && goal.isReachedBy(answer);
  }

  private boolean isDue(SocketEndpoint endpoint, MonotonicTime now) {
    if (inFlight.contains(endpoint) || hasReached(endpoint)) {
      return false;
    }
    MonotonicTime last = answeredAt.get(endpoint);
    return last == null || now.since(last).compareTo(REPEAT_INTERVAL) >= 0;
  }
}

package org.persimmonwalk.internal.operator.fleet;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/**
 * Polls entry hosts until a goal is reached. The control loop runs on the calling thread and waits
 * for observations between rounds; requests complete on the threads of {@link HostAdministration}.
 */
public final class FleetPoll {
  /** The longest wait for an observation before a round runs without one. */
  private static final Duration MAXIMUM_ROUND_WAIT = Duration.ofMillis(100);

  private final HostAdministration hosts;
  private final MonotonicClock clock;

  private FleetPoll(HostAdministration hosts, MonotonicClock clock) {
    this.hosts = hosts;
    this.clock = clock;
  }

  /** Returns a poll that sends requests through the client and measures time with the clock. */
  public static FleetPoll of(HostAdministration hosts, MonotonicClock clock) {
    return new FleetPoll(hosts, clock);
  }

  /**
   * Polls the hosts until each has reached the goal or the time limit has passed. If the calling
   * thread is interrupted, returns early with the newest view and keeps the interrupt status.
   *
   * @param progress called on the calling thread when the number of hosts that have reached the
   *     goal changes
   */
  public FleetView run(
      List<SocketEndpoint> endpoints,
      FleetGoal goal,
      Duration limit,
      Consumer<FleetView> progress) {
    PollExecutor executor = new PollExecutor();
    ControlLoop loop =
        ControlLoop.of(
            List.of(FleetController.of(endpoints, goal, limit)),
            executor::execute,
            clock,
            RandomSource.system());
    executor.observations = loop::post;
    FleetView view = loop.snapshot().get(FleetView.ENTRY);
    try {
      while (!view.ended()) {
        loop.awaitAndRunRound(MAXIMUM_ROUND_WAIT);
        FleetView next = loop.snapshot().get(FleetView.ENTRY);
        if (next.reached() != view.reached()) {
          progress.accept(next);
        }
        view = next;
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return view;
  }

  /** Executes {@link PollHost} and posts the result to the control loop. */
  private final class PollExecutor {
    private Consumer<Observation> observations = observation -> {};

    private void execute(Command command) {
      SocketEndpoint endpoint = ((PollHost) command).endpoint();
      hosts
          .state(endpoint)
          .whenComplete(
              (report, failure) ->
                  observations.accept(
                      new HostPollCompleted(
                          endpoint,
                          failure == null
                              ? new HostPollResult.Reported(report)
                              : new HostPollResult.Failed(toException(failure)))));
    }
  }

  private static PersimmonwalkException toException(Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    return cause instanceof PersimmonwalkException exception
        ? exception
        : PersimmonwalkException.of(
            ResultCode.INTERNAL_ERROR, "an entry host could not be polled: " + cause, cause);
  }
}

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

/** Asks hosts in a control loop on the calling thread; requests run on other threads. */
public final class FleetPoll {
  private static final Duration LONGEST_ROUND_GAP = Duration.ofMillis(100);

  private final HostAdministration hosts;
  private final MonotonicClock clock;

  private FleetPoll(HostAdministration hosts, MonotonicClock clock) {
    this.hosts = hosts;
    this.clock = clock;
  }

  /** Returns a poll that uses the given interfaces. */
  public static FleetPoll of(HostAdministration hosts, MonotonicClock clock) {
    return new FleetPoll(hosts, clock);
  }

  /**
   * Asks the hosts until each has reached the goal or the time is over.
   *
   * @param progress is told when more or fewer hosts have reached the goal
   */
  public FleetView run(
      List<SocketEndpoint> endpoints,
      FleetGoal goal,
      Duration limit,
      Consumer<FleetView> progress) {
    LoopExecutor executor = new LoopExecutor();
    ControlLoop loop =
        ControlLoop.of(
            List.of(FleetController.of(endpoints, goal, limit)),
            executor::execute,
            clock,
            RandomSource.system());
    executor.results = loop::post;
    FleetView view = loop.snapshot().get(FleetView.ENTRY);
    try {
      while (!view.ended()) {
        loop.awaitAndRunRound(LONGEST_ROUND_GAP);
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

  /** Carries out {@link AskHost}. */
  private final class LoopExecutor {
    private Consumer<Observation> results = result -> {};

    private void execute(Command command) {
      SocketEndpoint endpoint = ((AskHost) command).endpoint();
      hosts
          .state(endpoint)
          .whenComplete(
              (report, failure) ->
                  results.accept(
                      new HostAnswered(
                          endpoint,
                          failure == null
                              ? new HostAnswer.Reported(report)
                              : new HostAnswer.Failed(known(failure)))));
    }
  }

  private static PersimmonwalkException known(Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    return cause instanceof PersimmonwalkException exception
        ? exception
        : PersimmonwalkException.of(
            ResultCode.INTERNAL_ERROR, "a host could not be asked: " + cause, cause);
  }
}

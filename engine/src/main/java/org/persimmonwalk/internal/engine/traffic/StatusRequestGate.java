package org.persimmonwalk.internal.engine.traffic;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.engine.TrafficScheduler;
import org.persimmonwalk.engine.control.ReadServerStatus;
import org.persimmonwalk.engine.control.ServerStatusRead;
import org.persimmonwalk.port.CommandExecutor;

/**
 * Passes commands on, status requests by way of the traffic thread, where the requests to cold
 * servers are counted. One that must not be sent ends like one without an answer.
 */
public final class StatusRequestGate implements CommandExecutor {
  private final CommandExecutor executor;
  private final TrafficScheduler scheduler;
  private Sessions sessions;
  private ControlLoop loop;

  /** Creates a gate, which has to be connected before the first command. */
  public StatusRequestGate(CommandExecutor executor, TrafficScheduler scheduler) {
    this.executor = executor;
    this.scheduler = scheduler;
  }

  /** Connects the gate to the sessions that count requests, and to the receiver of results. */
  public void connect(Sessions counting, ControlLoop receiver) {
    sessions = counting;
    loop = receiver;
  }

  @Override
  public void execute(Command command) {
    if (command instanceof ReadServerStatus read) {
      scheduler.schedule(Duration.ZERO, () -> executeIfAdmitted(read));
    } else {
      executor.execute(command);
    }
  }

  private void executeIfAdmitted(ReadServerStatus read) {
    if (sessions.admitStatusRequest(read.server())) {
      executor.execute(read);
    } else {
      loop.post(new ServerStatusRead(read.server().id(), Optional.empty()));
    }
  }
}

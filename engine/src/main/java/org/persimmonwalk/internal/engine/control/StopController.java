package org.persimmonwalk.internal.engine.control;

import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.HostStopping;
import org.persimmonwalk.model.MonotonicTime;

/** Records that this host has been asked to stop. Writes the stopping entry. */
public final class StopController implements Controller {

  private StopController() {}

  /** Returns a controller for a host that hasn't been asked to stop. */
  public static StopController create() {
    return new StopController();
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    if (blackboard.observations(HostStopping.class).findAny().isPresent()) {
      blackboard.put(EngineEntries.STOPPING, true);
    }
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(Inputs.ofObservations(HostStopping.class));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    return NextRun.onInput();
  }
}

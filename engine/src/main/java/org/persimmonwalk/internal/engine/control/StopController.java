package org.persimmonwalk.internal.engine.control;

import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.HostStopping;

/** Notes that the host was asked to stop; owns the stopping entry. */
public final class StopController implements Controller {

  private StopController() {}

  /** Returns a controller of a host that runs. */
  public static StopController create() {
    return new StopController();
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    if (blackboard.observations(HostStopping.class).findAny().isPresent()) {
      blackboard.put(EngineEntries.STOPPING, true);
    }
  }
}

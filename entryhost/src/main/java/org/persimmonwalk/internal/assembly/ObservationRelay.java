package org.persimmonwalk.internal.assembly;

import java.util.Optional;
import java.util.function.Consumer;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Observation;

/**
 * Passes observations to the control loop. Network listeners are open before the control loop
 * exists, because the loop's controllers need to know their ports; what comes before is dropped.
 */
final class ObservationRelay implements Consumer<Observation> {
  private volatile Optional<ControlLoop> loop = Optional.empty();

  private ObservationRelay() {}

  static ObservationRelay create() {
    return new ObservationRelay();
  }

  void connect(ControlLoop target) {
    loop = Optional.of(target);
  }

  @Override
  public void accept(Observation observation) {
    loop.ifPresent(target -> target.post(observation));
  }
}

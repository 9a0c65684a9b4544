package org.persimmonwalk.internal.assembly;

import java.util.Optional;
import java.util.function.Consumer;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Observation;

/**
 * Forwards observations to the control loop. Network listeners open before the control loop exists,
 * because its controllers need to know the ports; observations that arrive earlier are dropped.
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

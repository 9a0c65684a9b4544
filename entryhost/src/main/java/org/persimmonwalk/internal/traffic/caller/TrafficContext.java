package org.persimmonwalk.internal.traffic.caller;

import io.opentelemetry.api.trace.Tracer;
import java.time.Duration;
import org.persimmonwalk.acknowledgement.AcknowledgementPolicy;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.entryhost.TrafficListener;
import org.persimmonwalk.internal.settings.Settings;
import org.persimmonwalk.internal.traffic.backend.BackendConnector;
import org.persimmonwalk.internal.traffic.backend.ServerPools;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.request.RequestPlanner;
import org.persimmonwalk.retry.RetryPolicy;

/** The settings and services that all caller connections of this host share. */
public record TrafficContext(
    Settings.Caller settings,
    ControlLoop control,
    RequestPlanner planner,
    RetryPolicy retries,
    Backends backends,
    AcknowledgementPolicy acknowledgement,
    SnapshotWaiters waiters,
    Instruments instruments) {

  /**
   * What is needed to reach the backend servers.
   *
   * @param answerTimeout how long a server may take for one complete answer
   */
  public record Backends(ServerPools pools, BackendConnector connector, Duration answerTimeout) {}

  /** The clock of the traffic threads and the observers of the statements. */
  public record Instruments(MonotonicClock clock, TrafficListener listener, Tracer tracer) {}

  MonotonicClock clock() {
    return instruments.clock();
  }

  TrafficListener listener() {
    return instruments.listener();
  }
}

package org.persimmonwalk.internal.execution;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.command.SampleServer;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.internal.traffic.backend.MonitorConnections;
import org.persimmonwalk.internal.traffic.backend.SampleRow;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.observation.ServerSampleFailed;
import org.persimmonwalk.observation.ServerSampled;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.wire.ProtocolException;

/** Samples a backend server with the query of {@link SampleRow}. */
public final class SampleServerHandler implements CommandHandler<SampleServer> {
  private final MonitorConnections connections;
  private final Function<BackendServerId, DatabaseGroupId> groups;
  private final MonotonicClock clock;
  private final Consumer<Observation> observations;

  private SampleServerHandler(
      MonitorConnections connections,
      Function<BackendServerId, DatabaseGroupId> groups,
      MonotonicClock clock,
      Consumer<Observation> observations) {
    this.connections = connections;
    this.groups = groups;
    this.clock = clock;
    this.observations = observations;
  }

  /**
   * Returns the handler.
   *
   * @param groups returns the database group of a server
   * @param observations receives the results
   */
  public static SampleServerHandler of(
      MonitorConnections connections,
      Function<BackendServerId, DatabaseGroupId> groups,
      MonotonicClock clock,
      Consumer<Observation> observations) {
    return new SampleServerHandler(connections, groups, clock, observations);
  }

  @Override
  public void handle(SampleServer command) {
    BackendServerId server = command.server().id();
    MonotonicTime startedAt = clock.now();
    connections
        .query(groups.apply(server), command.server(), SampleRow.QUERY)
        .whenComplete(
            (row, failure) ->
                observations.accept(
                    failure == null
                        ? toObservation(server, row, startedAt)
                        : new ServerSampleFailed(server, startedAt)));
  }

  private static Observation toObservation(
      BackendServerId server, List<String> row, MonotonicTime startedAt) {
    try {
      return new ServerSampled(server, SampleRow.parse(row).sample(), startedAt);
    } catch (ProtocolException e) {
      return new ServerSampleFailed(server, startedAt);
    }
  }
}

package org.persimmonwalk.internal.control.position;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.command.SampleServer;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerProbe;
import org.persimmonwalk.model.ServerProbe.State;
import org.persimmonwalk.observation.SampleRequested;
import org.persimmonwalk.observation.ServerSampleFailed;
import org.persimmonwalk.observation.ServerSampled;

/**
 * Decides when each backend server is probed and submits the probes. It runs before {@link
 * ReplicaPositionController}.
 *
 * <p>At most one probe of a server is in flight. A primary is probed only in the same round as a
 * replica: a replica's sample confirms the primary's only if its probe started no earlier, however
 * late its answer arrives.
 */
public final class SamplingController implements Controller {
  private final SamplingSettings settings;

  private SamplingController(SamplingSettings settings) {
    this.settings = settings;
  }

  /** Returns a controller with the given settings. */
  public static SamplingController of(SamplingSettings settings) {
    return new SamplingController(settings);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    Configuration configuration = blackboard.get(Entries.CONFIGURATION);
    Map<BackendServerId, ServerProbe> probes = new HashMap<>(blackboard.get(Entries.PROBES));
    blackboard
        .observations(ServerSampled.class)
        .forEach(sampled -> markAnswered(probes, sampled.server(), sampled.startedAt()));
    blackboard
        .observations(ServerSampleFailed.class)
        .forEach(failed -> markAnswered(probes, failed.server(), failed.startedAt()));
    Set<BackendServerId> expired = expireOverdue(probes, context.now());
    blackboard
        .observations(SampleRequested.class)
        .map(request -> configuration.group(request.group()))
        .flatMap(Optional::stream)
        .flatMap(group -> group.servers().stream())
        .forEach(
            server -> probes.computeIfPresent(server.id(), (id, probe) -> probe.withRequest()));

    Map<BackendServerId, ServerProbe> next = new HashMap<>();
    for (DatabaseGroup group : configuration.groups().values()) {
      group.servers().forEach(server -> copyProbe(probes, next, server.id()));
      Optional<BackendServerId> primary =
          Optional.ofNullable(blackboard.get(Entries.GROUPS).get(group.id()))
              .flatMap(GroupView::primary);
      for (BackendServer server : serversToProbe(group, primary, next, expired, context.now())) {
        next.put(server.id(), ServerProbe.start(context.now()));
        blackboard.submit(new SampleServer(server));
      }
    }
    if (!next.equals(blackboard.get(Entries.PROBES))) {
      blackboard.put(Entries.PROBES, Map.copyOf(next));
    }
  }

  /**
   * Returns the servers to probe now, the primary first. A server whose probe has just expired is
   * left out for one round, so that {@link ReplicaPositionController} sees the expired probe.
   */
  private List<BackendServer> serversToProbe(
      DatabaseGroup group,
      Optional<BackendServerId> primary,
      Map<BackendServerId, ServerProbe> probes,
      Set<BackendServerId> expired,
      MonotonicTime now) {
    List<BackendServer> available =
        group.servers().stream()
            .filter(server -> !expired.contains(server.id()))
            .filter(server -> mayProbe(probes.get(server.id()), now))
            .toList();
    List<BackendServer> replicas =
        available.stream().filter(server -> !primary.equals(Optional.of(server.id()))).toList();
    Optional<BackendServer> duePrimary =
        available.stream()
            .filter(server -> primary.equals(Optional.of(server.id())))
            .findFirst()
            .filter(server -> isDue(probes.get(server.id()), now))
            .filter(server -> !replicas.isEmpty() || group.servers().size() == 1);
    if (duePrimary.isEmpty()) {
      return replicas.stream().filter(server -> isDue(probes.get(server.id()), now)).toList();
    }
    return Stream.concat(duePrimary.stream(), replicas.stream()).toList();
  }

  /** Returns whether no probe is in flight and the minimum interval has passed. */
  private boolean mayProbe(ServerProbe probe, MonotonicTime now) {
    return probe == null
        || probe.state() != State.IN_FLIGHT
            && hasPassed(settings.minimumInterval(), probe.startedAt(), now);
  }

  /** Returns whether a new sample was requested or the routine interval has passed. */
  private boolean isDue(ServerProbe probe, MonotonicTime now) {
    return probe == null
        || probe.requested()
        || hasPassed(settings.routineInterval(), probe.startedAt(), now);
  }

  /**
   * Marks the server's newest probe as answered. A result of an earlier start is that of an expired
   * probe and is ignored.
   */
  private static void markAnswered(
      Map<BackendServerId, ServerProbe> probes, BackendServerId server, MonotonicTime startedAt) {
    probes.computeIfPresent(
        server,
        (id, probe) ->
            startedAt.isBefore(probe.startedAt()) ? probe : probe.withState(State.ANSWERED));
  }

  /** Marks the probes that got no result within the timeout as expired; returns their servers. */
  private Set<BackendServerId> expireOverdue(
      Map<BackendServerId, ServerProbe> probes, MonotonicTime now) {
    Set<BackendServerId> expired = new HashSet<>();
    for (Map.Entry<BackendServerId, ServerProbe> entry : probes.entrySet()) {
      ServerProbe probe = entry.getValue();
      if (probe.state() == State.IN_FLIGHT
          && hasPassed(settings.probeTimeout(), probe.startedAt(), now)) {
        entry.setValue(probe.withState(State.EXPIRED));
        expired.add(entry.getKey());
      }
    }
    return expired;
  }

  private static boolean hasPassed(Duration time, MonotonicTime since, MonotonicTime now) {
    return now.since(since).compareTo(time) >= 0;
  }

  private static void copyProbe(
      Map<BackendServerId, ServerProbe> from,
      Map<BackendServerId, ServerProbe> target,
      BackendServerId server) {
    ServerProbe probe = from.get(server);
    if (probe != null) {
      target.put(server, probe);
    }
  }
}

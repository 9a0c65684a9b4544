package org.persimmonwalk.internal.execution;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.command.FenceServer;
import org.persimmonwalk.command.FollowPrimary;
import org.persimmonwalk.command.PromoteServer;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.internal.traffic.backend.MonitorConnections;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.LogPosition;
import org.persimmonwalk.model.Term;
import org.persimmonwalk.observation.ServerFenced;
import org.persimmonwalk.observation.ServerFollowing;
import org.persimmonwalk.observation.ServerPromoted;
import org.persimmonwalk.observation.TermRefused;
import org.tinylog.Logger;

/**
 * Calls the functions with which a backend server changes its term. A call without an answer has no
 * observation; the controllers repeat their commands, which are idempotent.
 */
public final class GroupFunctions {
  private static final String ACCEPTED = "t";

  private final MonitorConnections connections;
  private final Function<BackendServerId, DatabaseGroupId> groups;
  private final Consumer<Observation> observations;

  private GroupFunctions(
      MonitorConnections connections,
      Function<BackendServerId, DatabaseGroupId> groups,
      Consumer<Observation> observations) {
    this.connections = connections;
    this.groups = groups;
    this.observations = observations;
  }

  /**
   * Returns the functions of all servers.
   *
   * @param groups tells the group of a server
   * @param observations takes the results
   */
  public static GroupFunctions of(
      MonitorConnections connections,
      Function<BackendServerId, DatabaseGroupId> groups,
      Consumer<Observation> observations) {
    return new GroupFunctions(connections, groups, observations);
  }

  /** Makes the dispatcher give the commands of promotions to this object. */
  public void register(CommandDispatcher dispatcher) {
    dispatcher.register(FenceServer.class, this::fence);
    dispatcher.register(PromoteServer.class, this::promote);
    dispatcher.register(FollowPrimary.class, this::follow);
  }

  private void fence(FenceServer command) {
    BackendServerId server = command.server().id();
    call(
        command.server(),
        "persimmonwalk_fence(" + command.term() + ", '" + command.host() + "')",
        row -> {
          Term shown = Term.of(Long.parseLong(row.get(1)));
          LogPosition received = LogPosition.parse(row.get(2));
          return Optional.of(
              isAccepted(row)
                  ? new ServerFenced(server, command.term(), GroupPosition.of(shown, received))
                  : new TermRefused(server, command.term(), shown));
        });
  }

  private void promote(PromoteServer command) {
    BackendServerId server = command.server().id();
    call(
        command.server(),
        "persimmonwalk_promote(" + command.term() + ", '" + command.host() + "')",
        row ->
            Optional.of(
                isAccepted(row)
                    ? new ServerPromoted(server, command.term())
                    : new TermRefused(
                        server, command.term(), Term.of(Long.parseLong(row.get(1))))));
  }

  private void follow(FollowPrimary command) {
    BackendServerId server = command.server().id();
    call(
        command.server(),
        "persimmonwalk_follow(" + command.term() + ", '" + command.primary().id() + "')",
        row ->
            isAccepted(row)
                ? Optional.of(new ServerFollowing(server, command.term()))
                : Optional.empty());
  }

  private void call(
      BackendServer server,
      String function,
      Function<List<String>, Optional<Observation>> reading) {
    CompletionStage<List<String>> row =
        connections.query(groups.apply(server.id()), server, "SELECT * FROM " + function);
    row.thenApply(reading)
        .whenComplete(
            (result, failure) -> {
              if (failure == null) {
                result.ifPresent(observations);
              } else {
                Logger.warn("{} on {} failed: {}", function, server.id(), failure.getMessage());
              }
            });
  }

  private static boolean isAccepted(List<String> row) {
    return row.get(0).equals(ACCEPTED);
  }
}

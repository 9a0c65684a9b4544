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
 * Carries out the commands of a promotion by calling SQL functions that fence, promote and repoint
 * a backend server. A call without an answer posts no observation; the controllers repeat their
 * commands, which are idempotent.
 */
public final class PromotionFunctions {
  private static final String ACCEPTED = "t";

  private final MonitorConnections connections;
  private final Function<BackendServerId, DatabaseGroupId> groups;
  private final Consumer<Observation> observations;

  private PromotionFunctions(
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
   * @param groups returns the database group of a server
   * @param observations receives the results
   */
  public static PromotionFunctions of(
      MonitorConnections connections,
      Function<BackendServerId, DatabaseGroupId> groups,
      Consumer<Observation> observations) {
    return new PromotionFunctions(connections, groups, observations);
  }

  /** Registers this object as the handler for the commands of a promotion. */
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
          Term reportedTerm = Term.of(Long.parseLong(row.get(1)));
          LogPosition received = LogPosition.parse(row.get(2));
          return Optional.of(
              isAccepted(row)
                  ? new ServerFenced(
                      server, command.term(), GroupPosition.of(reportedTerm, received))
                  : new TermRefused(server, command.term(), reportedTerm));
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
      BackendServer server, String function, Function<List<String>, Optional<Observation>> parser) {
    CompletionStage<List<String>> row =
        connections.query(groups.apply(server.id()), server, "SELECT * FROM " + function);
    row.thenApply(parser)
        .whenComplete(
            (result, failure) -> {
              if (failure == null) {
                result.ifPresent(observations);
              } else {
                Logger.warn(
                    "{} on backend server {} failed: {}",
                    function,
                    server.id(),
                    failure.getMessage());
              }
            });
  }

  private static boolean isAccepted(List<String> row) {
    return row.get(0).equals(ACCEPTED);
  }
}

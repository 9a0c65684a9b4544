package org.persimmonwalk.benchmark;

import java.util.Comparator;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.command.FenceServer;
import org.persimmonwalk.command.PromoteServer;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.ServerRole;
import org.persimmonwalk.model.ServerView;
import org.persimmonwalk.model.Term;

/**
 * Baseline for the production {@code PrimaryController}. On the first failed probe of the primary,
 * it promotes the replica with the highest sampled position and fences no other server.
 */
final class NaiveFailoverController implements Controller {
  private final EntryHostId host;

  private NaiveFailoverController(EntryHostId host) {
    this.host = host;
  }

  static NaiveFailoverController of(EntryHostId host) {
    return new NaiveFailoverController(host);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    blackboard
        .get(Entries.GROUPS)
        .values()
        .forEach(group -> promoteIfPrimaryFails(group, blackboard));
  }

  private void promoteIfPrimaryFails(GroupView group, Blackboard blackboard) {
    Optional<ServerView> failedPrimary =
        group.primaryView().filter(view -> view.failingSince().isPresent());
    if (failedPrimary.isEmpty()) {
      return;
    }
    Term term = group.term().next();
    group.servers().stream()
        .filter(view -> view.failingSince().isEmpty())
        .filter(
            view ->
                view.hasRole(ServerRole.REPLICA, group.term())
                    || view.hasRole(ServerRole.FENCED, term))
        .max(Comparator.comparing(view -> view.sample().get().received()))
        .ifPresent(
            candidate -> {
              blackboard.submit(new FenceServer(candidate.server(), term, host));
              blackboard.submit(new PromoteServer(candidate.server(), term, host));
            });
  }
}

package org.persimmonwalk.internal.engine.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.DecisionLog;
import org.persimmonwalk.engine.SuspensionDetector;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.HostAsked;
import org.persimmonwalk.engine.control.RelayAnswered;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.control.RowDemand;
import org.persimmonwalk.engine.control.TokenAsk;
import org.persimmonwalk.engine.control.TokenAsks;
import org.persimmonwalk.engine.control.TokenGrant;
import org.persimmonwalk.engine.control.TokenLoan;
import org.persimmonwalk.engine.control.WorkspaceDemand;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Gives the sessions of this host tokens for their operations, and lends tokens to the other hosts
 * of the zone while this host is the relay; owns the tokens and the questions about them.
 */
public final class RateController implements Controller {
  private final EngineSettings settings;
  private final SuspensionDetector suspension;
  private final StoreTokens store;
  private final Map<WorkspaceId, WorkspaceTokens> workspaces = new TreeMap<>();
  private int hostsOfRelay = 1;

  private RateController(EngineSettings settings, DecisionLog log, SuspensionDetector suspension) {
    this.settings = settings;
    this.suspension = suspension;
    this.store = new StoreTokens(settings, log);
  }

  /** Returns a controller that holds no tokens. */
  public static RateController create(
      EngineSettings settings, DecisionLog log, SuspensionDetector suspension) {
    return new RateController(settings, log, suspension);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    MonotonicTime resumedAt = suspension.lastResumedAt();
    blackboard
        .observations(WorkspaceDemand.class)
        .forEach(
            seen ->
                workspaces
                    .computeIfAbsent(seen.workspace(), unused -> new WorkspaceTokens(now))
                    .note(seen, now));
    blackboard.observations(RelayAnswered.class).forEach(this::takeLoans);
    store.finish(blackboard, now);
    store.lapse(now, resumedAt);
    workspaces.values().forEach(tokens -> tokens.lapse(now, resumedAt));
    lendToOthers(blackboard, now, resumedAt);
    if (blackboard.get(EngineEntries.RELAY_ROLE).isRelayed()) {
      lendToSelf(now, resumedAt, store::hasTokens);
      askRelay(blackboard, now);
      publish(blackboard, RowDemand.NONE, hostsOfRelay);
    } else {
      lendToSelf(now, resumedAt, workspace -> true);
      askRelay(blackboard, now);
      store.ask(blackboard, context);
      publish(blackboard, store.rows(now), store.hosts(blackboard));
    }
  }

  private void takeLoans(RelayAnswered answer) {
    answer.question().request().asks().stream()
        .map(TokenAsk::workspace)
        .filter(workspaces::containsKey)
        .forEach(workspace -> workspaces.get(workspace).asked(answer.askedAt()));
    answer
        .reply()
        .filter(ZoneReply::serves)
        .ifPresent(
            reply -> {
              hostsOfRelay = reply.activeHosts();
              reply.loans().stream()
                  .filter(loan -> workspaces.containsKey(loan.workspace()))
                  .forEach(loan -> workspaces.get(loan.workspace()).grant(loan, answer.askedAt()));
            });
  }

  private void lendToOthers(Blackboard blackboard, MonotonicTime now, MonotonicTime resumedAt) {
    Map<Long, List<TokenLoan>> lent = new HashMap<>();
    if (blackboard.get(EngineEntries.RELAY_ROLE).kind() == RelayRole.Kind.RELAYING) {
      blackboard
          .observations(HostAsked.class)
          .forEach(
              asked -> {
                List<TokenLoan> loans = new ArrayList<>();
                for (TokenAsk ask : asked.request().asks()) {
                  loans.add(store.lend(asked.request().from(), ask, now, resumedAt));
                }
                lent.put(asked.exchange(), loans);
              });
    }
    if (!lent.equals(blackboard.get(EngineEntries.TOKEN_LOANS))) {
      blackboard.put(EngineEntries.TOKEN_LOANS, Map.copyOf(lent));
    }
  }

  /** A host that has just found a relay still has tokens of its own in the store. */
  private void lendToSelf(
      MonotonicTime now, MonotonicTime resumedAt, Predicate<WorkspaceId> isLent) {
    workspaces.forEach(
        (workspace, tokens) -> {
          if (tokens.mustAsk(now) && isLent.test(workspace)) {
            TokenAsk ask = tokens.ask(workspace, now);
            tokens.grant(store.lend(settings.host(), ask, now, resumedAt), now);
          }
        });
  }

  /** A relay that has lost the store may still have tokens when this host has none. */
  private void askRelay(Blackboard blackboard, MonotonicTime now) {
    boolean urgent = workspaces.values().stream().anyMatch(tokens -> tokens.isUrgent(now));
    List<TokenAsk> asks = new ArrayList<>();
    workspaces.forEach(
        (workspace, tokens) -> {
          if (tokens.mustAsk(now)) {
            asks.add(tokens.ask(workspace, now));
          }
        });
    TokenAsks needed = new TokenAsks(asks, urgent);
    if (!needed.equals(blackboard.get(EngineEntries.TOKEN_ASKS))) {
      blackboard.put(EngineEntries.TOKEN_ASKS, needed);
    }
  }

  private void publish(Blackboard blackboard, RowDemand demand, int hosts) {
    Map<WorkspaceId, TokenGrant> grants = new HashMap<>();
    workspaces.forEach((workspace, tokens) -> grants.put(workspace, tokens.published()));
    if (!grants.equals(blackboard.get(EngineEntries.TOKENS))) {
      blackboard.put(EngineEntries.TOKENS, Map.copyOf(grants));
    }
    if (hosts != blackboard.get(EngineEntries.ACTIVE_HOSTS)) {
      blackboard.put(EngineEntries.ACTIVE_HOSTS, hosts);
    }
    if (!demand.equals(blackboard.get(EngineEntries.ROW_DEMAND))) {
      blackboard.put(EngineEntries.ROW_DEMAND, demand);
    }
  }
}

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
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.control.RowDemand;
import org.persimmonwalk.engine.control.TokenGrant;
import org.persimmonwalk.engine.control.TokenLoan;
import org.persimmonwalk.engine.control.TokenRequest;
import org.persimmonwalk.engine.control.TokenRequests;
import org.persimmonwalk.engine.control.WorkspaceDemand;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.engine.control.ZoneRequestEnded;
import org.persimmonwalk.engine.control.ZoneRequestReceived;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Obtains rate-limit tokens for the sessions of this host, from the store or from the relay of the
 * zone, and lends tokens to the other hosts of the zone while this host is the relay. Writes the
 * entries for tokens, token requests, token loans, row demand and active hosts.
 */
public final class RateController implements Controller {
  private final EngineSettings settings;
  private final SuspensionDetector suspension;
  private final TokenStatistics statistics;
  private final TokenPools pools;
  private final Map<WorkspaceId, WorkspaceTokens> workspaces = new TreeMap<>();
  private int activeHostsAtRelay = 1;

  private RateController(EngineSettings settings, DecisionLog log, SuspensionDetector suspension) {
    this.settings = settings;
    this.suspension = suspension;
    this.statistics = new TokenStatistics(log);
    this.pools = new TokenPools(settings, log, statistics);
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
    statistics.writeIfDue(now);
    blackboard
        .observations(WorkspaceDemand.class)
        .forEach(
            reported ->
                workspaces
                    .computeIfAbsent(reported.workspace(), unused -> new WorkspaceTokens(now))
                    .recordDemand(reported, now));
    blackboard.observations(ZoneRequestEnded.class).forEach(ended -> applyLoans(ended, now));
    pools.handleAnswers(blackboard, now);
    pools.dropExpired(now, resumedAt);
    workspaces
        .values()
        .forEach(
            tokens ->
                statistics.add(TokenStatistics.Count.LAPSED, tokens.dropExpired(now, resumedAt)));
    lendToOthers(blackboard, now, resumedAt);
    if (blackboard.get(EngineEntries.RELAY_ROLE).isClient()) {
      lendToSelf(now, resumedAt, pools::hasTokens);
      publishRequests(blackboard, now);
      publish(blackboard, RowDemand.NONE, activeHostsAtRelay);
    } else {
      lendToSelf(now, resumedAt, workspace -> true);
      publishRequests(blackboard, now);
      pools.acquireIfNeeded(blackboard, context);
      publish(blackboard, pools.rowDemand(now), pools.activeHosts(blackboard));
    }
  }

  private void applyLoans(ZoneRequestEnded ended, MonotonicTime now) {
    ended.command().request().tokenRequests().stream()
        .map(TokenRequest::workspace)
        .filter(workspaces::containsKey)
        .forEach(workspace -> workspaces.get(workspace).recordRequest(ended.sentAt()));
    ended
        .reply()
        .filter(ZoneReply::isRelay)
        .ifPresent(
            reply -> {
              activeHostsAtRelay = reply.activeHosts();
              reply.loans().stream()
                  .filter(loan -> workspaces.containsKey(loan.workspace()))
                  .forEach(loan -> grant(loan, ended.sentAt(), now));
            });
  }

  private void grant(TokenLoan loan, MonotonicTime requestedAt, MonotonicTime now) {
    workspaces.get(loan.workspace()).grant(loan, requestedAt);
    statistics.addGranted(loan.tokens(), now);
  }

  private void lendToOthers(Blackboard blackboard, MonotonicTime now, MonotonicTime resumedAt) {
    Map<Long, List<TokenLoan>> lent = new HashMap<>();
    if (blackboard.get(EngineEntries.RELAY_ROLE).kind() == RelayRole.Kind.RELAY) {
      blackboard
          .observations(ZoneRequestReceived.class)
          .forEach(
              received -> {
                List<TokenLoan> loans = new ArrayList<>();
                for (TokenRequest request : received.request().tokenRequests()) {
                  loans.add(pools.lend(received.request().from(), request, now, resumedAt));
                }
                lent.put(received.exchangeId(), loans);
              });
    }
    if (!lent.equals(blackboard.get(EngineEntries.TOKEN_LOANS))) {
      blackboard.put(EngineEntries.TOKEN_LOANS, Map.copyOf(lent));
    }
  }

  /**
   * Grants this host tokens from its own pools. A host that has just found a relay may still have
   * tokens that it took from the store itself.
   */
  private void lendToSelf(
      MonotonicTime now, MonotonicTime resumedAt, Predicate<WorkspaceId> canLend) {
    workspaces.forEach(
        (workspace, tokens) -> {
          if (tokens.needsTokens(now) && canLend.test(workspace)) {
            TokenRequest request = tokens.request(workspace, now);
            grant(pools.lend(settings.host(), request, now, resumedAt), now, now);
          }
        });
  }

  /**
   * Publishes the token requests for the relay, also while this host doesn't use the relay: a relay
   * that has lost the store may still have tokens when this host has none.
   */
  private void publishRequests(Blackboard blackboard, MonotonicTime now) {
    boolean urgent = workspaces.values().stream().anyMatch(tokens -> tokens.isUrgent(now));
    List<TokenRequest> requests = new ArrayList<>();
    workspaces.forEach(
        (workspace, tokens) -> {
          if (tokens.needsTokens(now)) {
            requests.add(tokens.request(workspace, now));
          }
        });
    TokenRequests needed = new TokenRequests(requests, urgent);
    if (!needed.equals(blackboard.get(EngineEntries.TOKEN_REQUESTS))) {
      blackboard.put(EngineEntries.TOKEN_REQUESTS, needed);
    }
  }

  private void publish(Blackboard blackboard, RowDemand demand, int activeHosts) {
    Map<WorkspaceId, TokenGrant> grants = new HashMap<>();
    workspaces.forEach((workspace, tokens) -> grants.put(workspace, tokens.toGrant()));
    if (!grants.equals(blackboard.get(EngineEntries.TOKENS))) {
      blackboard.put(EngineEntries.TOKENS, Map.copyOf(grants));
    }
    if (activeHosts != blackboard.get(EngineEntries.ACTIVE_HOSTS)) {
      blackboard.put(EngineEntries.ACTIVE_HOSTS, activeHosts);
    }
    if (!demand.equals(blackboard.get(EngineEntries.ROW_DEMAND))) {
      blackboard.put(EngineEntries.ROW_DEMAND, demand);
    }
  }
}

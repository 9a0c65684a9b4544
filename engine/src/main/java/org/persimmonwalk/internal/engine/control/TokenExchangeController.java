package org.persimmonwalk.internal.engine.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Inputs;
import org.persimmonwalk.blackboard.NextRun;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.engine.control.EngineEntries;
import org.persimmonwalk.engine.control.EngineSettings;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.control.RestartNotice;
import org.persimmonwalk.engine.control.SendTokenReply;
import org.persimmonwalk.engine.control.SendTokenRequests;
import org.persimmonwalk.engine.control.SuspectedRestart;
import org.persimmonwalk.engine.control.TokenRequests;
import org.persimmonwalk.engine.control.TokenRequestsEnded;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Sends the token requests of this host to their lenders, one exchange at a time with each, and the
 * replies to the requests that this host received as a lender. Runs after the controller that
 * decides about them. Writes the unanswered lenders entry.
 */
public final class TokenExchangeController implements Controller {
  /**
   * Each exchange has its own timeout. This one covers an answer that is lost inside this process,
   * which must not stop the exchanges with a lender for good.
   */
  static final Duration LOST_ANSWER_TIMEOUT = Duration.ofMillis(2000);

  private final EngineSettings settings;
  private final Duration exchangeInterval;
  private final Map<RelayHost, MonotonicTime> unanswered = new HashMap<>();
  private final Map<RelayHost, MonotonicTime> lastSentAt = new HashMap<>();

  private TokenExchangeController(EngineSettings settings) {
    this.settings = settings;
    this.exchangeInterval = settings.timings().exchangeInterval();
  }

  /** Returns a controller that has sent nothing. */
  public static TokenExchangeController create(EngineSettings settings) {
    return new TokenExchangeController(settings);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    MonotonicTime now = context.now();
    blackboard
        .observations(TokenRequestsEnded.class)
        .forEach(ended -> unanswered.remove(ended.command().lender()));
    unanswered.values().removeIf(sentAt -> now.since(sentAt).compareTo(LOST_ANSWER_TIMEOUT) > 0);
    List<RestartNotice> notices = restartNotices(blackboard, now);
    reply(blackboard, notices);
    blackboard
        .get(EngineEntries.TOKEN_REQUESTS)
        .forEach((lender, requests) -> sendIfDue(blackboard, lender, requests, notices, now));
    lastSentAt.values().removeIf(sentAt -> now.since(sentAt).compareTo(exchangeInterval) > 0);
    if (!unanswered.equals(blackboard.get(EngineEntries.UNANSWERED_LENDERS))) {
      blackboard.put(EngineEntries.UNANSWERED_LENDERS, Map.copyOf(unanswered));
    }
  }

  @Override
  public Optional<Inputs> inputs() {
    return Optional.of(
        Inputs.ofObservations(TokenRequestsEnded.class)
            .andEntries(EngineEntries.TOKEN_REQUESTS, EngineEntries.TOKEN_REPLIES));
  }

  @Override
  public NextRun nextRun(Blackboard blackboard, MonotonicTime now) {
    boolean isBusy =
        !unanswered.isEmpty() || !blackboard.get(EngineEntries.TOKEN_REQUESTS).isEmpty();
    if (isBusy) {
      return NextRun.inNextRound(now);
    }
    NextRun next = NextRun.onInput();
    for (MonotonicTime sentAt : lastSentAt.values()) {
      next = next.orAt(sentAt.plus(exchangeInterval));
    }
    return next;
  }

  private void sendIfDue(
      Blackboard blackboard,
      RelayHost lender,
      TokenRequests requests,
      List<RestartNotice> notices,
      MonotonicTime now) {
    boolean due = requests.urgent() || !lastSentAt.containsKey(lender);
    if (due && !unanswered.containsKey(lender)) {
      unanswered.put(lender, now);
      lastSentAt.put(lender, now);
      blackboard.submit(
          new SendTokenRequests(lender, settings.host(), requests.requests(), notices));
    }
  }

  /** Returns what a relay tells the relays of other zones. */
  private static List<RestartNotice> restartNotices(Blackboard blackboard, MonotonicTime now) {
    return blackboard.get(EngineEntries.RELAY_ROLE).kind() == RelayRole.Kind.RELAY
        ? SuspectedRestart.notices(blackboard.get(EngineEntries.SUSPECTED_RESTARTS), now)
        : List.of();
  }

  private static void reply(Blackboard blackboard, List<RestartNotice> notices) {
    blackboard
        .get(EngineEntries.TOKEN_REPLIES)
        .forEach(
            (id, reply) ->
                blackboard.submit(new SendTokenReply(id, reply.withRestartNotices(notices))));
  }
}

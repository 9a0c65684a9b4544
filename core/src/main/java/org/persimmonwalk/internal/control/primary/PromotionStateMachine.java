package org.persimmonwalk.internal.control.primary;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.command.FenceServer;
import org.persimmonwalk.command.FollowPrimary;
import org.persimmonwalk.command.PromoteServer;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.Promotion;
import org.persimmonwalk.model.PromotionStep;
import org.persimmonwalk.model.ServerView;
import org.persimmonwalk.model.Term;
import org.persimmonwalk.observation.ServerFenced;
import org.persimmonwalk.observation.ServerPromoted;
import org.persimmonwalk.observation.TermRefused;

/**
 * The state machine of one group's promotion at this host. {@link PrimaryController} builds one for
 * each group in each round; the state that lasts longer is the {@link Promotion} that it advances.
 *
 * <p>A promotion writes the group's claim row if the table service answers, fences at least all
 * servers but one in a new term, promotes the fenced server with the most advanced log, and makes
 * the other servers follow it.
 */
final class PromotionStateMachine {
  /** The bound of the random part of the backoff doubles at most this many times. */
  private static final int MAX_BACKOFF_DOUBLINGS = 3;

  private final EntryHostId host;
  private final PromotionSettings settings;
  private final GroupView group;
  private final GroupHealth health;
  private final Blackboard blackboard;
  private final RoundContext context;
  private final ClaimStore claims;

  private PromotionStateMachine(
      EntryHostId host,
      PromotionSettings settings,
      GroupView group,
      Blackboard blackboard,
      RoundContext context) {
    this.host = host;
    this.settings = settings;
    this.group = group;
    this.health = GroupHealth.of(group, settings, context.now());
    this.blackboard = blackboard;
    this.context = context;
    this.claims = ClaimStore.of(host, group.id(), blackboard);
  }

  static PromotionStateMachine of(
      EntryHostId host,
      PromotionSettings settings,
      GroupView group,
      Blackboard blackboard,
      RoundContext context) {
    return new PromotionStateMachine(host, settings, group, blackboard, context);
  }

  Promotion advance(Promotion before) {
    Promotion promotion = observeTerms(before);
    PromotionStep step = promotion.step();
    if (step instanceof PromotionStep.Idle) {
      return startIfNeeded(promotion);
    } else if (step instanceof PromotionStep.Delaying delaying) {
      return delay(promotion, delaying);
    } else if (step instanceof PromotionStep.ReadingClaim reading) {
      return checkClaimRead(promotion, reading);
    } else if (step instanceof PromotionStep.WritingClaim writing) {
      return checkClaimWrite(promotion, writing);
    } else if (step instanceof PromotionStep.Fencing fencing) {
      return checkFences(promotion, fencing);
    } else if (step instanceof PromotionStep.Promoting promoting) {
      return checkPromotion(promotion, promoting);
    } else if (step instanceof PromotionStep.AwaitingPrimarySample awaiting) {
      return checkPrimarySample(promotion, awaiting);
    }
    PromotionStep.BackingOff backingOff = (PromotionStep.BackingOff) step;
    return now().isBefore(backingOff.until()) ? promotion : returnToIdle(promotion);
  }

  /** Records the terms in the servers' samples and the promotions that other hosts have begun. */
  private Promotion observeTerms(Promotion before) {
    Promotion promotion = before.withSeenTerm(group.term());
    for (ServerView view : group.servers()) {
      if (view.sample().isPresent()) {
        promotion = promotion.withSeenTerm(view.sample().get().term());
      }
    }
    Optional<Term> unfinished = health.unfinishedTerm();
    if (unfinished.isPresent() && !unfinished.get().equals(promotion.term())) {
      promotion = promotion.withCompeting(unfinished.get(), now());
    }
    boolean competingDone =
        promotion
            .competing()
            .filter(competing -> !competing.term().isAfter(group.term()))
            .isPresent();
    return competingDone ? promotion.withoutCompeting() : promotion;
  }

  private Promotion startIfNeeded(Promotion promotion) {
    if (!health.needsPromotion() || isCompetingPromotionActive(promotion)) {
      return promotion;
    }
    int rank = HostRank.of(host, group.id(), blackboard.get(Entries.LIVE_HOSTS));
    Duration delay = HostRank.delay(rank, settings.rankStep(), context.random());
    return delay(promotion, new PromotionStep.Delaying(now().plus(delay)));
  }

  private Promotion delay(Promotion promotion, PromotionStep.Delaying delaying) {
    if (!health.needsPromotion() || isCompetingPromotionActive(promotion)) {
      return returnToIdle(promotion);
    }
    if (now().isBefore(delaying.startsAt())) {
      return promotion.withStep(delaying);
    }
    claims.read();
    return promotion.withStep(new PromotionStep.ReadingClaim(now()));
  }

  private Promotion checkClaimRead(Promotion promotion, PromotionStep.ReadingClaim reading) {
    if (!health.needsPromotion()) {
      return returnToIdle(promotion);
    }
    Optional<ClaimStore.Read> read = claims.readResult(reading.startedAt());
    if (read.isEmpty()) {
      return hasPassed(settings.storeTimeout(), reading.startedAt())
          ? beginFencing(promotion)
          : promotion;
    }
    if (!read.get().answered()) {
      return beginFencing(promotion);
    }
    Promotion seen = promotion;
    Optional<Term> competing = read.get().competingTerm(group.term());
    if (competing.isPresent()) {
      seen = promotion.withSeenTerm(competing.get()).withCompeting(competing.get(), now());
      if (isCompetingPromotionActive(seen)) {
        return backOff(seen);
      }
    }
    claims.write(read.get().version(), seen.highestTerm().next());
    return seen.withStep(new PromotionStep.WritingClaim(reading.startedAt(), now()));
  }

  private Promotion checkClaimWrite(Promotion promotion, PromotionStep.WritingClaim writing) {
    if (!health.needsPromotion()) {
      return returnToIdle(promotion);
    }
    Optional<ClaimStore.Written> written = claims.writeResult(writing.sentAt());
    if (written.isEmpty()) {
      return hasPassed(settings.storeTimeout(), writing.startedAt())
          ? beginFencing(promotion)
          : promotion;
    }
    if (written.get().conflict()) {
      return backOff(promotion);
    }
    return beginFencing(written.get().version().map(promotion::withClaim).orElse(promotion));
  }

  private Promotion beginFencing(Promotion before) {
    if (isCompetingPromotionActive(before)) {
      return backOff(before);
    }
    Promotion promotion = before.withNextTerm();
    sendFences(promotion.term(), Map.of());
    return promotion.withStep(new PromotionStep.Fencing(now(), now(), Map.of()));
  }

  private Promotion checkFences(Promotion before, PromotionStep.Fencing fencing) {
    Optional<Promotion> aborted = abortIfSuperseded(before);
    if (aborted.isPresent()) {
      return aborted.get();
    }
    Map<BackendServerId, GroupPosition> fenced = new HashMap<>(fencing.fenced());
    blackboard
        .observations(ServerFenced.class)
        .filter(answer -> answer.term().equals(before.term()))
        .filter(answer -> group.server(answer.server()).isPresent())
        .forEach(answer -> fenced.put(answer.server(), answer.received()));
    if (fenced.size() >= health.requiredFences() && !shouldWaitForAnotherFence(fencing, fenced)) {
      return beginPromoting(before, fenced);
    }
    boolean resend = hasPassed(settings.retryInterval(), fencing.sentAt());
    if (resend) {
      sendFences(before.term(), fenced);
    }
    return before.withStep(
        new PromotionStep.Fencing(fencing.startedAt(), resend ? now() : fencing.sentAt(), fenced));
  }

  /**
   * Returns whether to wait, within the grace period, for a reachable server that is not fenced
   * yet. It is most likely the old primary, whose log may hold writes that are not acknowledged
   * yet.
   */
  private boolean shouldWaitForAnotherFence(
      PromotionStep.Fencing fencing, Map<BackendServerId, GroupPosition> fenced) {
    return !hasPassed(settings.fenceGrace(), fencing.startedAt())
        && group.servers().stream()
            .filter(view -> !fenced.containsKey(view.server().id()))
            .anyMatch(view -> view.isFresh(settings.maxSampleAge(), now()));
  }

  private Promotion beginPromoting(
      Promotion promotion, Map<BackendServerId, GroupPosition> fenced) {
    BackendServerId chosen = FencedLogs.of(group, fenced).mostAdvanced();
    submitPromotion(promotion.term(), chosen);
    return promotion.withStep(new PromotionStep.Promoting(now(), now(), chosen));
  }

  private Promotion checkPromotion(Promotion promotion, PromotionStep.Promoting promoting) {
    boolean promoted =
        blackboard
            .observations(ServerPromoted.class)
            .anyMatch(
                answer ->
                    answer.term().equals(promotion.term())
                        && answer.server().equals(promoting.chosen()));
    if (promoted) {
      return finish(promotion, promoting.chosen());
    }
    Optional<Promotion> aborted = abortIfSuperseded(promotion);
    if (aborted.isPresent()) {
      return aborted.get();
    }
    if (hasPassed(settings.stallTimeout(), promoting.startedAt())) {
      return backOff(promotion);
    }
    if (!hasPassed(settings.retryInterval(), promoting.sentAt())) {
      return promotion;
    }
    submitPromotion(promotion.term(), promoting.chosen());
    return promotion.withStep(
        new PromotionStep.Promoting(promoting.startedAt(), now(), promoting.chosen()));
  }

  private Promotion finish(Promotion promotion, BackendServerId primary) {
    BackendServer promoted = group.server(primary).orElseThrow().server();
    group.servers().stream()
        .map(ServerView::server)
        .filter(server -> !server.id().equals(primary))
        .forEach(
            server -> blackboard.submit(new FollowPrimary(server, promotion.term(), promoted)));
    promotion
        .claimVersion()
        .ifPresent(claim -> claims.writePromoted(claim, promotion.term(), primary));
    return promotion.withStep(new PromotionStep.AwaitingPrimarySample(now()));
  }

  private Promotion checkPrimarySample(
      Promotion promotion, PromotionStep.AwaitingPrimarySample awaiting) {
    boolean sampled = !promotion.term().isAfter(group.term());
    return sampled || hasPassed(settings.stallTimeout(), awaiting.startedAt())
        ? returnToIdle(promotion)
        : promotion;
  }

  /**
   * Aborts an attempt if the group has reached its term, or if a server refused a command because
   * it has promised the same or a higher term. A refusal for another reason aborts nothing, for
   * example that of a primary that accepts no fence.
   */
  private Optional<Promotion> abortIfSuperseded(Promotion promotion) {
    if (!promotion.term().isAfter(group.term())) {
      return Optional.of(returnToIdle(promotion));
    }
    return blackboard
        .observations(TermRefused.class)
        .filter(refused -> refused.term().equals(promotion.term()))
        .filter(refused -> group.server(refused.server()).isPresent())
        .map(TermRefused::promised)
        .filter(promised -> !promotion.term().isAfter(promised))
        .max(Term::compareTo)
        .map(promised -> backOff(afterRefusal(promotion, promised)));
  }

  /**
   * Records another host's promotion if the server has promised a higher term. If it has promised
   * the same term to another host, both hosts back off and try again.
   */
  private Promotion afterRefusal(Promotion promotion, Term promised) {
    return promised.isAfter(promotion.term())
        ? promotion.withSeenTerm(promised).withCompeting(promised, now())
        : promotion;
  }

  private void sendFences(Term term, Map<BackendServerId, GroupPosition> fenced) {
    group.servers().stream()
        .map(ServerView::server)
        .filter(server -> !fenced.containsKey(server.id()))
        .forEach(server -> blackboard.submit(new FenceServer(server, term, host)));
  }

  private void submitPromotion(Term term, BackendServerId chosen) {
    BackendServer server = group.server(chosen).orElseThrow().server();
    blackboard.submit(new PromoteServer(server, term, host));
  }

  /**
   * Gives up this attempt and waits before the next one. The wait grows with each attempt and is
   * randomized, so that competing hosts do not try again at the same time.
   */
  private Promotion backOff(Promotion promotion) {
    Duration bound =
        settings
            .rankStep()
            .multipliedBy(1L << Math.min(promotion.backoffs(), MAX_BACKOFF_DOUBLINGS));
    return promotion.withBackoff(
        now().plus(settings.rankStep()).plus(HostRank.jitter(bound, context.random())));
  }

  private static Promotion returnToIdle(Promotion promotion) {
    return promotion.withStep(new PromotionStep.Idle());
  }

  private boolean isCompetingPromotionActive(Promotion promotion) {
    return promotion
        .competing()
        .filter(competing -> !hasPassed(settings.stallTimeout(), competing.seenAt()))
        .isPresent();
  }

  private boolean hasPassed(Duration time, MonotonicTime since) {
    return now().since(since).compareTo(time) >= 0;
  }

  private MonotonicTime now() {
    return context.now();
  }
}

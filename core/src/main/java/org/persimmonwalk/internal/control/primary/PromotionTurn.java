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

/** Advances the promotion of one group in one round. */
final class PromotionTurn {
  private static final int BACK_OFF_LIMIT = 3;

  private final EntryHostId host;
  private final PromotionSettings settings;
  private final GroupView group;
  private final GroupHealth health;
  private final Blackboard blackboard;
  private final RoundContext context;
  private final ClaimStore claims;

  private PromotionTurn(
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

  static PromotionTurn of(
      EntryHostId host,
      PromotionSettings settings,
      GroupView group,
      Blackboard blackboard,
      RoundContext context) {
    return new PromotionTurn(host, settings, group, blackboard, context);
  }

  Promotion advance(Promotion before) {
    Promotion promotion = observeTerms(before);
    PromotionStep step = promotion.step();
    if (step instanceof PromotionStep.Watching) {
      return watch(promotion);
    } else if (step instanceof PromotionStep.Delaying delaying) {
      return delay(promotion, delaying);
    } else if (step instanceof PromotionStep.ReadingClaim reading) {
      return readClaim(promotion, reading);
    } else if (step instanceof PromotionStep.WritingClaim writing) {
      return writeClaim(promotion, writing);
    } else if (step instanceof PromotionStep.Fencing fencing) {
      return fence(promotion, fencing);
    } else if (step instanceof PromotionStep.Promoting promoting) {
      return promote(promotion, promoting);
    } else if (step instanceof PromotionStep.Settling settling) {
      return settle(promotion, settling);
    }
    PromotionStep.BackingOff backingOff = (PromotionStep.BackingOff) step;
    return now().isBefore(backingOff.until()) ? promotion : stop(promotion);
  }

  /** Takes note of the terms that servers show and of promotions by other hosts. */
  private Promotion observeTerms(Promotion before) {
    Promotion promotion = before.withSeen(group.term());
    for (ServerView view : group.servers()) {
      if (view.sample().isPresent()) {
        promotion = promotion.withSeen(view.sample().get().term());
      }
    }
    Optional<Term> unfinished = health.unfinishedTerm();
    if (unfinished.isPresent() && !unfinished.get().equals(promotion.term())) {
      promotion = promotion.withRival(unfinished.get(), now());
    }
    boolean rivalDone =
        promotion.rival().filter(rival -> !rival.term().isAfter(group.term())).isPresent();
    return rivalDone ? promotion.withoutRival() : promotion;
  }

  private Promotion watch(Promotion promotion) {
    if (!health.needsPromotion() || isRivalActive(promotion)) {
      return promotion;
    }
    int rank = HostRank.of(host, group.id(), blackboard.get(Entries.LIVE_HOSTS));
    Duration delay = HostRank.delay(rank, settings.rankStep(), context.random());
    return delay(promotion, new PromotionStep.Delaying(now().plus(delay)));
  }

  private Promotion delay(Promotion promotion, PromotionStep.Delaying delaying) {
    if (!health.needsPromotion() || isRivalActive(promotion)) {
      return stop(promotion);
    }
    if (now().isBefore(delaying.startsAt())) {
      return promotion.withStep(delaying);
    }
    claims.read();
    return promotion.withStep(new PromotionStep.ReadingClaim(now()));
  }

  private Promotion readClaim(Promotion promotion, PromotionStep.ReadingClaim reading) {
    if (!health.needsPromotion()) {
      return stop(promotion);
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
    Optional<Term> rival = read.get().rivalTerm(group.term());
    if (rival.isPresent()) {
      seen = promotion.withSeen(rival.get()).withRival(rival.get(), now());
      if (isRivalActive(seen)) {
        return backOff(seen);
      }
    }
    claims.write(read.get().version(), seen.highestTerm().next());
    return seen.withStep(new PromotionStep.WritingClaim(reading.startedAt(), now()));
  }

  private Promotion writeClaim(Promotion promotion, PromotionStep.WritingClaim writing) {
    if (!health.needsPromotion()) {
      return stop(promotion);
    }
    Optional<ClaimStore.Written> written = claims.writeResult(writing.sentAt());
    if (written.isEmpty()) {
      return hasPassed(settings.storeTimeout(), writing.startedAt())
          ? beginFencing(promotion)
          : promotion;
    }
    if (written.get().lost()) {
      return backOff(promotion);
    }
    return beginFencing(written.get().version().map(promotion::withClaim).orElse(promotion));
  }

  private Promotion beginFencing(Promotion before) {
    if (isRivalActive(before)) {
      return backOff(before);
    }
    Promotion promotion = before.withNextTerm();
    sendFences(promotion.term(), Map.of());
    return promotion.withStep(new PromotionStep.Fencing(now(), now(), Map.of()));
  }

  private Promotion fence(Promotion before, PromotionStep.Fencing fencing) {
    Optional<Promotion> ended = endIfOvertaken(before);
    if (ended.isPresent()) {
      return ended.get();
    }
    Map<BackendServerId, GroupPosition> fenced = new HashMap<>(fencing.fenced());
    blackboard
        .observations(ServerFenced.class)
        .filter(answer -> answer.term().equals(before.term()))
        .filter(answer -> group.server(answer.server()).isPresent())
        .forEach(answer -> fenced.put(answer.server(), answer.received()));
    if (fenced.size() >= health.fenceSize() && !isFenceWorthWaiting(fencing, fenced)) {
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
   * Returns whether the answer of one more server in reach may still come. It is most likely the
   * old primary, whose log may hold writes that are not acknowledged yet.
   */
  private boolean isFenceWorthWaiting(
      PromotionStep.Fencing fencing, Map<BackendServerId, GroupPosition> fenced) {
    return !hasPassed(settings.fenceGrace(), fencing.startedAt())
        && group.servers().stream()
            .filter(view -> !fenced.containsKey(view.server().id()))
            .anyMatch(view -> view.isFresh(settings.sampleAge(), now()));
  }

  private Promotion beginPromoting(
      Promotion promotion, Map<BackendServerId, GroupPosition> fenced) {
    BackendServerId chosen = FencedLogs.of(group, fenced).mostAdvanced();
    submitPromotion(promotion.term(), chosen);
    return promotion.withStep(new PromotionStep.Promoting(now(), now(), chosen));
  }

  private Promotion promote(Promotion promotion, PromotionStep.Promoting promoting) {
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
    Optional<Promotion> ended = endIfOvertaken(promotion);
    if (ended.isPresent()) {
      return ended.get();
    }
    if (hasPassed(settings.rivalTime(), promoting.startedAt())) {
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
    promotion.claimVersion().ifPresent(claim -> claims.report(claim, promotion.term(), primary));
    return promotion.withStep(new PromotionStep.Settling(now()));
  }

  private Promotion settle(Promotion promotion, PromotionStep.Settling settling) {
    boolean shown = !promotion.term().isAfter(group.term());
    return shown || hasPassed(settings.rivalTime(), settling.startedAt())
        ? stop(promotion)
        : promotion;
  }

  /**
   * Ends an attempt whose term is too low by now. A refusal for another reason, such as a primary
   * that accepts no fence, ends nothing.
   */
  private Optional<Promotion> endIfOvertaken(Promotion promotion) {
    if (!promotion.term().isAfter(group.term())) {
      return Optional.of(stop(promotion));
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

  /** Two hosts that met in the same term both try again; a host in a higher term is left alone. */
  private Promotion afterRefusal(Promotion promotion, Term promised) {
    return promised.isAfter(promotion.term())
        ? promotion.withSeen(promised).withRival(promised, now())
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

  /** Leaves the group to other hosts for a time that grows and differs between hosts. */
  private Promotion backOff(Promotion promotion) {
    Duration bound =
        settings.rankStep().multipliedBy(1L << Math.min(promotion.attempts(), BACK_OFF_LIMIT));
    return promotion.backedOff(
        now().plus(settings.rankStep()).plus(HostRank.jitter(bound, context.random())));
  }

  private static Promotion stop(Promotion promotion) {
    return promotion.withStep(new PromotionStep.Watching());
  }

  private boolean isRivalActive(Promotion promotion) {
    return promotion
        .rival()
        .filter(rival -> !hasPassed(settings.rivalTime(), rival.seenAt()))
        .isPresent();
  }

  private boolean hasPassed(Duration time, MonotonicTime since) {
    return now().since(since).compareTo(time) >= 0;
  }

  private MonotonicTime now() {
    return context.now();
  }
}

package org.persimmonwalk.internal.engine.traffic;

import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.id.BackendServerId;

/** Chooses the server for each attempt of a request. */
final class TargetChoice {
  private final TrafficContext context;
  private final ServerPools pools;
  private final ExecutionRequest request;

  TargetChoice(TrafficContext context, ServerPools pools, ExecutionRequest request) {
    this.context = context;
    this.pools = pools;
    this.request = request;
  }

  /**
   * What to do in an attempt.
   *
   * @param target where to send the request; empty if it can't be sent now
   * @param reason why it can't be sent, if that is known
   * @param isDecisive whether the reason counts also if an earlier attempt had another one
   * @param isHeld whether a server could run it that is kept for more urgent work at present
   */
  record Result(
      Optional<ExecutionTarget> target,
      Optional<Failure> reason,
      boolean isDecisive,
      boolean isHeld) {
    private static Result to(ExecutionTarget target) {
      return new Result(Optional.of(target), Optional.empty(), false, false);
    }

    private static Result none(Optional<Failure> reason, boolean isDecisive) {
      return new Result(Optional.empty(), reason, isDecisive, false);
    }

    private static final Result HELD = new Result(Optional.empty(), Optional.empty(), false, true);
  }

  /**
   * Chooses a server.
   *
   * @param tried the servers that a read does not go to again
   * @param tooLong whether the request is too long to be sent with a position
   */
  Result choose(Set<BackendServerId> tried, boolean tooLong) {
    Optional<ServerEntry> primary = context.primary(request.group());
    if (request.needsPrimary()) {
      return primary.map(this::primaryIfAdmitted).orElse(Result.none(Optional.empty(), false));
    }
    Set<BackendServerId> except =
        request.begins() ? tried : pools.urgency().withClosed(tried, request.route());
    Optional<TermPosition> sample =
        pools.history(request.group()).oldestWithin(request.staleness(), context.now());
    if (sample.isPresent() && !tooLong) {
      TermPosition minimumPosition = sample.get().max(request.minimumPosition());
      Optional<ServerChoice.Candidate> best =
          pools.choose(request.group(), request.workspace(), except);
      if (best.isPresent()) {
        boolean isPrimary = best.get().primary();
        return Result.to(
            new ExecutionTarget(
                best.get().pool(),
                isPrimary,
                isPrimary ? Optional.empty() : Optional.of(minimumPosition),
                false));
      }
    }
    // Without a sample no other server can tell whether its data is recent enough.
    boolean onlyThere = sample.isEmpty() || tooLong;
    Optional<ServerEntry> untried =
        primary
            .filter(entry -> pools.coldServers().hasPart(entry))
            .filter(entry -> !tried.contains(entry.id()));
    boolean isClosed = untried.filter(entry -> except.contains(entry.id())).isPresent();
    if (isClosed || (untried.isEmpty() && !onlyThere && except.size() > tried.size())) {
      return Result.HELD;
    }
    return untried
        .map(entry -> target(entry, onlyThere))
        .orElse(Result.none(Optional.empty(), false));
  }

  private Result primaryIfAdmitted(ServerEntry primary) {
    // A cold one gets requests of relays only.
    if (!pools.coldServers().hasPart(primary)) {
      pools.coldServers().recordKept(primary);
      return Result.none(Optional.of(ColdServerGate.NOT_ADMITTED), true);
    }
    if (!request.begins() && !pools.urgency().admits(primary, request.route())) {
      return Result.HELD;
    }
    return target(primary, true);
  }

  private Result target(ServerEntry primary, boolean onlyThere) {
    ExecutionTarget target =
        new ExecutionTarget(pools.pool(primary), true, Optional.empty(), onlyThere);
    return target.mayBeUsed(context)
        ? Result.to(target)
        : Result.none(Optional.of(ServerPool.EVACUATED), false);
  }
}

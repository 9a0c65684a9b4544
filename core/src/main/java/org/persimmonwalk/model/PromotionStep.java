package org.persimmonwalk.model;

import java.util.Map;
import java.util.Objects;
import org.persimmonwalk.id.BackendServerId;

/** Where an entry host stands in the promotion of a new primary. */
public sealed interface PromotionStep {

  /** The group needs no promotion as far as this host knows. */
  record Watching() implements PromotionStep {}

  /** The group needs a promotion; hosts of lower rank act first. */
  record Delaying(MonotonicTime startsAt) implements PromotionStep {
    /** Checks that the time is present. */
    public Delaying {
      Objects.requireNonNull(startsAt, "startsAt");
    }
  }

  /** The claim row is being read. */
  record ReadingClaim(MonotonicTime startedAt) implements PromotionStep {
    /** Checks that the time is present. */
    public ReadingClaim {
      Objects.requireNonNull(startedAt, "startedAt");
    }
  }

  /**
   * The claim row is being written.
   *
   * @param startedAt when the claim row was first asked for
   * @param sentAt when the write was sent
   */
  record WritingClaim(MonotonicTime startedAt, MonotonicTime sentAt) implements PromotionStep {
    /** Checks that both parts are present. */
    public WritingClaim {
      Objects.requireNonNull(startedAt, "startedAt");
      Objects.requireNonNull(sentAt, "sentAt");
    }
  }

  /**
   * Servers are being fenced.
   *
   * @param startedAt when the first fence was sent
   * @param sentAt when the unanswered fences were last sent
   * @param fenced the ends of the logs of the servers fenced so far
   */
  record Fencing(
      MonotonicTime startedAt, MonotonicTime sentAt, Map<BackendServerId, GroupPosition> fenced)
      implements PromotionStep {
    /** Copies the map. */
    public Fencing {
      Objects.requireNonNull(startedAt, "startedAt");
      Objects.requireNonNull(sentAt, "sentAt");
      fenced = Map.copyOf(fenced);
    }
  }

  /**
   * The chosen server is being promoted. No other server may be promoted in the same term.
   *
   * @param startedAt when the promotion was first sent
   * @param sentAt when it was last sent
   * @param chosen the server with the most advanced log
   */
  record Promoting(MonotonicTime startedAt, MonotonicTime sentAt, BackendServerId chosen)
      implements PromotionStep {
    /** Checks that all parts are present. */
    public Promoting {
      Objects.requireNonNull(startedAt, "startedAt");
      Objects.requireNonNull(sentAt, "sentAt");
      Objects.requireNonNull(chosen, "chosen");
    }
  }

  /** The chosen server was promoted; samples have yet to show it. */
  record Settling(MonotonicTime startedAt) implements PromotionStep {
    /** Checks that the time is present. */
    public Settling {
      Objects.requireNonNull(startedAt, "startedAt");
    }
  }

  /** Another host or a higher term was met; the group is looked at again later. */
  record BackingOff(MonotonicTime until) implements PromotionStep {
    /** Checks that the time is present. */
    public BackingOff {
      Objects.requireNonNull(until, "until");
    }
  }
}

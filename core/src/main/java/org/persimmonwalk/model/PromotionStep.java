package org.persimmonwalk.model;

import java.util.Map;
import java.util.Objects;
import org.persimmonwalk.id.BackendServerId;

/**
 * A step of an entry host in the promotion of a new primary. The usual order is the one below; the
 * control thread moves from step to step.
 */
public sealed interface PromotionStep {

  /** No attempt is in progress at this host; it starts one when the group needs a promotion. */
  record Idle() implements PromotionStep {}

  /** The group needs a promotion, and this host waits because hosts of lower rank start first. */
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
   * @param startedAt when the read of the claim row was sent
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
   * The servers of the group are being fenced.
   *
   * @param startedAt when the fence commands were first sent
   * @param sentAt when the unanswered fence commands were last sent
   * @param fenced the servers fenced so far, with the end of the log of each
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
   * @param startedAt when the promotion command was first sent
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

  /** The chosen server was promoted, but no sample has shown its new term yet. */
  record AwaitingPrimarySample(MonotonicTime startedAt) implements PromotionStep {
    /** Checks that the time is present. */
    public AwaitingPrimarySample {
      Objects.requireNonNull(startedAt, "startedAt");
    }
  }

  /**
   * The attempt was given up, because of another host, a higher term or a missing answer. This host
   * checks again after the given time whether the group needs a promotion.
   */
  record BackingOff(MonotonicTime until) implements PromotionStep {
    /** Checks that the time is present. */
    public BackingOff {
      Objects.requireNonNull(until, "until");
    }
  }
}

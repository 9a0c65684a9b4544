package org.persimmonwalk.internal.traffic.backend;

import java.util.List;
import java.util.Optional;
import org.persimmonwalk.wire.Frame;

/**
 * What is sent to a backend server for one statement of a caller, as one pipelined write.
 *
 * @param settings what must have run on the connection; empty inside a transaction, which keeps the
 *     settings that it began with
 * @param guards statements of this host before the caller's; if one fails, the caller's does not
 *     run
 * @param frames the caller's messages
 * @param commits whether this host opened the transaction by a guard and must commit it
 * @param asksPosition whether the position of the primary is wanted after the answer
 */
public record ExchangePlan(
    Optional<SessionSettings> settings,
    List<String> guards,
    List<Frame> frames,
    boolean commits,
    boolean asksPosition) {

  /** Copies the lists. */
  public ExchangePlan {
    guards = List.copyOf(guards);
    frames = List.copyOf(frames);
  }

  /** Returns a plan for messages that need neither settings nor a position. */
  public static ExchangePlan of(List<Frame> frames) {
    return new ExchangePlan(Optional.empty(), List.of(), frames, false, false);
  }
}

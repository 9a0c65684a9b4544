package org.persimmonwalk.internal.traffic.backend;

import java.util.List;
import java.util.Optional;
import org.persimmonwalk.wire.Frame;

/**
 * What is sent to a backend server for one batch of a caller, pipelined in one flush.
 *
 * @param settings the SET statements that the connection needs; empty inside a transaction, which
 *     keeps the settings that it began with
 * @param guards statements that this host adds before those of the caller; if one fails, the
 *     caller's do not run
 * @param frames the caller's messages
 * @param commits whether this host opened the transaction by a guard and must commit it
 * @param queriesPosition whether to query the primary's position after the caller's statements
 */
public record ExchangePlan(
    Optional<SessionSettings> settings,
    List<String> guards,
    List<Frame> frames,
    boolean commits,
    boolean queriesPosition) {

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

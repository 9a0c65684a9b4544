package org.persimmonwalk.engine.control;

import java.util.Optional;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The token requests to a lender have ended, with a reply or without.
 *
 * @param reply empty if the exchange failed or timed out
 */
public record TokenRequestsEnded(
    SendTokenRequests command,
    Optional<TokenReply> reply,
    MonotonicTime sentAt,
    MonotonicTime endedAt)
    implements Observation {

  /** Returns whether the request failed before its time was over: the connection was refused. */
  public boolean isRefused() {
    return reply.isEmpty() && endedAt.since(sentAt).compareTo(EngineTimings.REPLY_TIMEOUT) < 0;
  }
}

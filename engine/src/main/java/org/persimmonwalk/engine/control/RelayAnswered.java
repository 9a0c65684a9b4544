package org.persimmonwalk.engine.control;

import java.util.Optional;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The end of a question to the relay.
 *
 * @param reply empty if no answer came in time
 */
public record RelayAnswered(
    AskRelay question, Optional<ZoneReply> reply, MonotonicTime askedAt, MonotonicTime answeredAt)
    implements Observation {}

package org.persimmonwalk.internal.engine.traffic;

import java.util.Optional;
import org.persimmonwalk.engine.Answer;

/**
 * How an {@link ExecutionRequest} ended.
 *
 * @param connection the connection that ran it, if it succeeded; the receiver must release it
 * @param onPrimary whether the last attempt went to the primary
 */
record ExecutionOutcome(Answer answer, Optional<PooledConnection> connection, boolean onPrimary) {}

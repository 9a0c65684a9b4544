package org.persimmonwalk.internal.engine.traffic;

import java.util.Optional;
import org.persimmonwalk.engine.Answer;

/**
 * How the work ended.
 *
 * @param connection the connection that ran it, if it succeeded; the taker gives it back
 */
record Outcome(Answer answer, Optional<PooledConnection> connection, boolean onPrimary) {}

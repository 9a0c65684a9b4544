package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Observation;

/**
 * The store has begun to answer a transaction, and the answer is so large that a small link takes
 * long to carry it. Reported at most once for a transaction, before {@link TransactionAnswered}.
 */
public record LargeAnswerStarted(RunTransaction transaction) implements Observation {}

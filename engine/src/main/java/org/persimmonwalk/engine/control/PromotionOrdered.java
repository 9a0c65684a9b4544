package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.BackendServerId;

/** The platform's answer to {@link OrderPromotion}. */
public record PromotionOrdered(BackendServerId server, boolean accepted) implements Observation {}

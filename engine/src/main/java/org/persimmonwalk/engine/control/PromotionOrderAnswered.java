package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.BackendServerId;

/** The platform's answer to {@link OrderPromotion}. */
public record PromotionOrderAnswered(BackendServerId server, boolean accepted)
    implements Observation {}

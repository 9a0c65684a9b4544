package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.id.EntryHostId;

/**
 * Orders the platform to make a server its group's primary. Ends with {@link
 * PromotionOrderAnswered}.
 *
 * @param holder the host that holds the promotion lease
 * @param fencingToken the fencing token of the lease; rises with each holder
 */
public record OrderPromotion(ServerEntry server, EntryHostId holder, long fencingToken)
    implements Command {}

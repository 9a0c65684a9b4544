package org.persimmonwalk.engine.control;

import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.id.EntryHostId;

/**
 * Orders the platform to make a server the primary of its group.
 *
 * @param fence rises whenever the holder of the duty changes
 */
public record OrderPromotion(ServerEntry server, EntryHostId holder, long fence)
    implements Command {}

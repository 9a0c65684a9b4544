package org.persimmonwalk.engine.control;

import org.persimmonwalk.model.MonotonicTime;

/**
 * The state of the list of servers.
 *
 * @param revision changes with the entries; never 0, and other for each process
 * @param readAt when the list was last read
 */
public record ServerListing(long revision, MonotonicTime readAt) {}

package org.persimmonwalk.engine.control;

import org.persimmonwalk.model.MonotonicTime;

/**
 * The version of the server list that this host has.
 *
 * @param revision changes with the entries; never 0, and different for each process, except that 0
 *     marks a list that no relay has
 * @param readAt when the list was last read from the store
 */
public record ServerListVersion(long revision, MonotonicTime readAt) {}

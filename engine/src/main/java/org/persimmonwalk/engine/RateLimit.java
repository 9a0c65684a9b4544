package org.persimmonwalk.engine;

/**
 * The limit of a workspace over all entry hosts.
 *
 * @param perSecond operations per second
 * @param burst operations that may come at once
 */
public record RateLimit(double perSecond, double burst) {}

package org.persimmonwalk.engine;

/**
 * The rate limit of a workspace, for all entry hosts together.
 *
 * @param perSecond operations per second
 * @param burst the number of operations allowed at once
 */
public record RateLimit(double perSecond, double burst) {}

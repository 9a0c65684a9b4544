package org.persimmonwalk.engine;

import java.time.Duration;
import org.persimmonwalk.id.DatabaseGroupId;

/**
 * What callers of a database name may reach, and how.
 *
 * @param statementTimeout the longest time that one statement may take
 * @param latencyTarget the time within which a whole operation should be answered
 * @param priority 0 is the most important
 * @param maximumStaleness the age up to which reads may miss commits; zero on primary routes
 * @param open whether callers need no key
 */
public record Route(
    DatabaseName database,
    DatabaseGroupId group,
    RouteKind kind,
    Duration statementTimeout,
    Duration latencyTarget,
    int priority,
    Duration maximumStaleness,
    boolean open) {}

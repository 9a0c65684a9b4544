package org.persimmonwalk.routing;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * The properties of a statement that a router needs.
 *
 * @param group the database group that the statement is for
 * @param kind whether the statement only reads
 * @param minimumPosition the position that the session's reads must see
 * @param maximumAge the maximum age of the data that the caller accepts, if it has stated one
 * @param zone the availability zone of this entry host
 * @param arrivedAt when the statement arrived; the age of data is measured back from this time
 */
public record RoutingRequest(
    DatabaseGroupId group,
    StatementKind kind,
    MinimumPosition minimumPosition,
    Optional<Duration> maximumAge,
    AvailabilityZone zone,
    MonotonicTime arrivedAt) {

  /** Checks that all parts are present. */
  public RoutingRequest {
    Objects.requireNonNull(group, "group");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(minimumPosition, "minimumPosition");
    Objects.requireNonNull(maximumAge, "maximumAge");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(arrivedAt, "arrivedAt");
  }
}

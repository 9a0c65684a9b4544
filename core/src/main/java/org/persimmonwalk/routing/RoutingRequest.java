package org.persimmonwalk.routing;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.model.MonotonicTime;

/**
 * What the router needs to know of a statement.
 *
 * @param group the database group that the statement is for
 * @param kind whether the statement only reads
 * @param floor what the session must see
 * @param maximumAge the oldest data that the caller accepts, if it has stated an age
 * @param zone the availability zone of this entry host
 * @param arrivedAt when the statement arrived; the age of data counts from here
 */
public record RoutingRequest(
    DatabaseGroupId group,
    StatementKind kind,
    SessionFloor floor,
    Optional<Duration> maximumAge,
    AvailabilityZone zone,
    MonotonicTime arrivedAt) {

  /** Checks that all parts are present. */
  public RoutingRequest {
    Objects.requireNonNull(group, "group");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(floor, "floor");
    Objects.requireNonNull(maximumAge, "maximumAge");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(arrivedAt, "arrivedAt");
  }
}

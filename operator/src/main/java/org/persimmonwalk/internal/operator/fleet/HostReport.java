package org.persimmonwalk.internal.operator.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.HostPhase;
import org.persimmonwalk.model.LogPosition;
import org.persimmonwalk.model.ServerRole;
import org.persimmonwalk.model.Term;

/**
 * What an entry host says of itself and of what it sees.
 *
 * @param host the entry host
 * @param zone its availability zone
 * @param phase what it does for callers
 * @param revision the revision in force there
 * @param freshnessAge the time since the revision was last known to be the newest
 * @param groups the database groups as the host sees them
 * @param servers the backend servers as the host sees them
 * @param workspaces the workspaces and the host's shares of them
 */
public record HostReport(
    EntryHostId host,
    AvailabilityZone zone,
    HostPhase phase,
    Revision revision,
    Optional<Duration> freshnessAge,
    List<Group> groups,
    List<Server> servers,
    List<Share> workspaces) {

  /** Copies the lists. */
  public HostReport {
    groups = List.copyOf(groups);
    servers = List.copyOf(servers);
    workspaces = List.copyOf(workspaces);
  }

  /** A database group as one host sees it. */
  public record Group(
      DatabaseGroupId id,
      Term term,
      Optional<BackendServerId> primary,
      Optional<Duration> confirmedAge) {}

  /** A backend server as one host sees it; all but the ids are absent before the first sample. */
  public record Server(
      BackendServerId id,
      DatabaseGroupId group,
      boolean leaving,
      Optional<Sample> sample,
      Optional<Duration> failing) {}

  /** The newest sample of a backend server. */
  public record Sample(
      ServerRole role,
      Term term,
      LogPosition received,
      LogPosition replayed,
      Duration age,
      Optional<Duration> dataAge) {}

  /** A workspace and one host's share of it, in statements per second. */
  public record Share(WorkspaceId id, double rate, double burst, double share, double demand) {}
}

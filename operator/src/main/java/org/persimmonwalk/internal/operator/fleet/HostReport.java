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
 * The state that an entry host reports through its administration interface: its own and its view
 * of the database groups, backend servers and workspaces.
 *
 * @param host the entry host
 * @param zone its availability zone
 * @param phase the phase of its life cycle
 * @param revision the revision in force on the host
 * @param freshnessAge the time since the revision was last known to be the newest; empty if it
 *     never was
 * @param groups the database groups as the host sees them
 * @param servers the backend servers as the host sees them
 * @param workspaces the workspaces, each with the host's share of its rate limit
 */
public record HostReport(
    EntryHostId host,
    AvailabilityZone zone,
    HostPhase phase,
    Revision revision,
    Optional<Duration> freshnessAge,
    List<Group> groups,
    List<Server> servers,
    List<WorkspaceShare> workspaces) {

  /** Copies the lists. */
  public HostReport {
    groups = List.copyOf(groups);
    servers = List.copyOf(servers);
    workspaces = List.copyOf(workspaces);
  }

  /**
   * A database group as one host sees it.
   *
   * @param confirmedAge the age of the newest confirmed position
   */
  public record Group(
      DatabaseGroupId id,
      Term term,
      Optional<BackendServerId> primary,
      Optional<Duration> confirmedAge) {}

  /**
   * A backend server as one host sees it.
   *
   * @param leaving whether the configuration marks the server as leaving
   * @param sample the newest sample; empty before the first one
   * @param failingFor the time since the first probe that failed after the newest sample; empty if
   *     none did
   */
  public record Server(
      BackendServerId id,
      DatabaseGroupId group,
      boolean leaving,
      Optional<Sample> sample,
      Optional<Duration> failingFor) {}

  /**
   * The newest sample of a backend server.
   *
   * @param age the time since the sample was taken
   * @param dataAge the age of the newest confirmed position that the server has replayed
   */
  public record Sample(
      ServerRole role,
      Term term,
      LogPosition received,
      LogPosition replayed,
      Duration age,
      Optional<Duration> dataAge) {}

  /**
   * The rate limit of a workspace and one host's share of it.
   *
   * @param rate the rate of the whole workspace, in statements per second
   * @param burst the burst of the whole workspace, in statements
   * @param share the host's share of the rate, in statements per second
   * @param demand the demand that the host sees, in statements per second
   */
  public record WorkspaceShare(
      WorkspaceId id, double rate, double burst, double share, double demand) {}
}

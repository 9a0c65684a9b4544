package org.persimmonwalk.testing;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.command.ListHosts;
import org.persimmonwalk.command.LoadConfiguration;
import org.persimmonwalk.command.ReadTableRow;
import org.persimmonwalk.command.SendPeerMessage;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.internal.control.configuration.ConfigurationController;
import org.persimmonwalk.internal.control.drain.DrainController;
import org.persimmonwalk.internal.control.key.KeyController;
import org.persimmonwalk.internal.control.membership.MembershipController;
import org.persimmonwalk.model.ConfigurationRow;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.VersionedRow;
import org.persimmonwalk.observation.ConfigurationLoaded;
import org.persimmonwalk.observation.HostsListed;
import org.persimmonwalk.observation.TableRowRead;
import org.persimmonwalk.observation.TableRowReadFailed;
import org.persimmonwalk.port.CommandExecutor;
import org.persimmonwalk.port.RandomSource;

/**
 * An entry host of a {@link ConfigurationFleet}. Tests can make the store and the host list
 * unreachable for it.
 */
public final class ConfigurationHost implements CommandExecutor {
  private final ConfigurationFleet fleet;
  private final HostEntry entry;
  private final ControlLoop loop;
  private boolean storeReachable = true;
  private boolean hostListReachable = true;

  private ConfigurationHost(
      ConfigurationFleet fleet, HostEntry entry, List<Controller> controllers, long seed) {
    this.fleet = fleet;
    this.entry = entry;
    this.loop = ControlLoop.of(controllers, this, fleet.clock(), RandomSource.seeded(seed));
  }

  static ConfigurationHost of(
      ConfigurationFleet fleet, HostEntry entry, List<Controller> controllers, long seed) {
    return new ConfigurationHost(fleet, entry, controllers, seed);
  }

  /**
   * Returns the production controllers for configuration, keys, membership and draining, in the
   * order in which the entry host runs them.
   */
  public static List<Controller> controllers(HostEntry entry) {
    return List.of(
        ConfigurationController.create(),
        KeyController.create(),
        MembershipController.of(entry),
        DrainController.create());
  }

  /** Sets whether the host can read the host list. */
  public void setHostListReachable(boolean reachable) {
    hostListReachable = reachable;
  }

  /** Sets whether the host can reach the table service and the object store. */
  public void setStoreReachable(boolean reachable) {
    storeReachable = reachable;
  }

  /** Returns the host's entry in the host list. */
  public HostEntry entry() {
    return entry;
  }

  /** Returns the revision of the configuration that the host uses. */
  public Revision revision() {
    return snapshot().get(Entries.CONFIGURATION).revision();
  }

  /** Returns the newest snapshot. */
  public Snapshot snapshot() {
    return loop.snapshot();
  }

  /** Queues an observation for the next round. */
  public void post(Observation observation) {
    loop.post(observation);
  }

  void runRound() {
    loop.runRound();
  }

  @Override
  public void execute(Command command) {
    MonotonicTime startedAt = fleet.clock().now();
    if (command instanceof SendPeerMessage send) {
      fleet.send(entry.id(), send.to(), send.message());
    } else if (command instanceof ListHosts && hostListReachable) {
      List<HostEntry> hosts = fleet.hostList();
      fleet.deliverInNextStep(() -> post(new HostsListed(hosts, startedAt)));
    } else if (command instanceof ReadTableRow && storeReachable) {
      VersionedRow read = resultOf(fleet.store().read(ConfigurationRow.ROW));
      TableRowRead result =
          new TableRowRead(ConfigurationRow.ROW, read.version(), read.value(), startedAt);
      fleet.deliverInNextStep(() -> post(result));
    } else if (command instanceof ReadTableRow) {
      fleet.deliverInNextStep(() -> post(new TableRowReadFailed(ConfigurationRow.ROW, startedAt)));
    } else if (command instanceof LoadConfiguration && storeReachable) {
      load(startedAt);
    }
  }

  private void load(MonotonicTime startedAt) {
    ConfigurationRow row =
        (ConfigurationRow) resultOf(fleet.store().read(ConfigurationRow.ROW)).value().orElseThrow();
    ConfigurationLoaded loaded =
        new ConfigurationLoaded(
            resultOf(fleet.store().get(row.object())).orElseThrow().configuration(), startedAt);
    fleet.deliverInNextStep(() -> post(loaded));
  }

  private static <T> T resultOf(CompletionStage<T> stage) {
    return stage.toCompletableFuture().join();
  }
}

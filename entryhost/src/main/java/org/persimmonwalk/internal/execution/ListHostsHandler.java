package org.persimmonwalk.internal.execution;

import java.util.function.Consumer;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.command.ListHosts;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.observation.HostsListed;
import org.persimmonwalk.port.HostListing;
import org.persimmonwalk.port.MonotonicClock;
import org.tinylog.Logger;

/** Reads the list of entry hosts from the platform. */
public final class ListHostsHandler implements CommandHandler<ListHosts> {
  private final HostListing hosts;
  private final MonotonicClock clock;
  private final Consumer<Observation> observations;

  private ListHostsHandler(
      HostListing hosts, MonotonicClock clock, Consumer<Observation> observations) {
    this.hosts = hosts;
    this.clock = clock;
    this.observations = observations;
  }

  /** Returns the handler. */
  public static ListHostsHandler of(
      HostListing hosts, MonotonicClock clock, Consumer<Observation> observations) {
    return new ListHostsHandler(hosts, clock, observations);
  }

  @Override
  public void handle(ListHosts command) {
    MonotonicTime startedAt = clock.now();
    hosts
        .list()
        .whenComplete(
            (list, failure) -> {
              if (failure == null) {
                observations.accept(new HostsListed(list, startedAt));
              } else {
                Logger.debug("the host list could not be read: {}", failure.getMessage());
              }
            });
  }
}

package org.persimmonwalk.benchmark;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.command.LoadConfiguration;
import org.persimmonwalk.command.ReadTableRow;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.internal.control.Jitter;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.ConfigurationRow;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.observation.ConfigurationLoaded;
import org.persimmonwalk.observation.TableRowRead;

/**
 * Baseline for the propagation of configurations: each host reads the configuration row every 5 s
 * and exchanges no messages with peers.
 */
final class StorePollingController implements Controller {
  private static final Duration INTERVAL = Duration.ofSeconds(5);

  private Optional<MonotonicTime> nextReadAt = Optional.empty();

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    blackboard
        .observations(ConfigurationLoaded.class)
        .map(ConfigurationLoaded::configuration)
        .filter(
            loaded -> loaded.revision().isNewerThan(currentConfiguration(blackboard).revision()))
        .forEach(loaded -> blackboard.put(Entries.CONFIGURATION, loaded));
    blackboard
        .observations(TableRowRead.class)
        .flatMap(read -> read.value().stream())
        .map(value -> ((ConfigurationRow) value).revision())
        .filter(revision -> isNewer(revision, blackboard))
        .forEach(revision -> blackboard.submit(new LoadConfiguration(revision)));
    if (nextReadAt.isEmpty()) {
      nextReadAt = Optional.of(Jitter.within(context, INTERVAL));
    }
    if (!context.now().isBefore(nextReadAt.get())) {
      nextReadAt = Optional.of(context.now().plus(INTERVAL));
      blackboard.submit(new ReadTableRow(ConfigurationRow.ROW));
    }
  }

  private static boolean isNewer(Revision revision, Blackboard blackboard) {
    return revision.isNewerThan(currentConfiguration(blackboard).revision());
  }

  private static Configuration currentConfiguration(Blackboard blackboard) {
    return blackboard.get(Entries.CONFIGURATION);
  }
}

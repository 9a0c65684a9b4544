package org.persimmonwalk.internal.execution;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.command.LoadConfiguration;
import org.persimmonwalk.model.ConfigurationRow;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.StoredConfiguration;
import org.persimmonwalk.model.VersionedRow;
import org.persimmonwalk.observation.ConfigurationLoaded;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.ObjectStore;
import org.persimmonwalk.port.TableService;
import org.tinylog.Logger;

/** Loads the configuration that the configuration row names. */
public final class LoadConfigurationHandler implements CommandHandler<LoadConfiguration> {
  private final TableService tables;
  private final ObjectStore objects;
  private final MonotonicClock clock;
  private final Consumer<Observation> observations;

  private LoadConfigurationHandler(
      TableService tables,
      ObjectStore objects,
      MonotonicClock clock,
      Consumer<Observation> observations) {
    this.tables = tables;
    this.objects = objects;
    this.clock = clock;
    this.observations = observations;
  }

  /** Returns the handler. */
  public static LoadConfigurationHandler of(
      TableService tables,
      ObjectStore objects,
      MonotonicClock clock,
      Consumer<Observation> observations) {
    return new LoadConfigurationHandler(tables, objects, clock, observations);
  }

  @Override
  public void handle(LoadConfiguration command) {
    MonotonicTime startedAt = clock.now();
    tables
        .read(ConfigurationRow.ROW)
        .thenCompose(this::loadObject)
        .whenComplete(
            (stored, failure) -> {
              if (failure != null) {
                Logger.warn(
                    "configuration revision {} could not be loaded: {}",
                    command.revision(),
                    failure.getMessage());
              } else {
                stored.ifPresent(
                    found ->
                        observations.accept(
                            new ConfigurationLoaded(found.configuration(), startedAt)));
              }
            });
  }

  private CompletionStage<Optional<StoredConfiguration>> loadObject(VersionedRow row) {
    return row.value()
        .filter(ConfigurationRow.class::isInstance)
        .map(ConfigurationRow.class::cast)
        .map(current -> objects.get(current.object()))
        .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
  }
}

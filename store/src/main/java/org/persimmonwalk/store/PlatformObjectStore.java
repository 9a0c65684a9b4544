package org.persimmonwalk.store;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.persimmonwalk.id.ObjectName;
import org.persimmonwalk.internal.store.ConfigurationFormat;
import org.persimmonwalk.model.StoredConfiguration;
import org.persimmonwalk.port.ObjectStore;

/** Stores configurations as JSON objects in the platform's object store. */
public final class PlatformObjectStore implements ObjectStore {
  private final PlatformClient client;
  private final ConfigurationFormat format = ConfigurationFormat.create();

  private PlatformObjectStore(PlatformClient client) {
    this.client = client;
  }

  /** Returns an object store that uses the client. */
  public static PlatformObjectStore of(PlatformClient client) {
    return new PlatformObjectStore(client);
  }

  @Override
  public CompletionStage<Optional<StoredConfiguration>> get(ObjectName name) {
    return client.getObject(name.value()).thenApply(content -> content.map(format::decode));
  }

  @Override
  public CompletionStage<Void> put(ObjectName name, StoredConfiguration content) {
    return client.putObject(name.value(), format.encode(content));
  }
}

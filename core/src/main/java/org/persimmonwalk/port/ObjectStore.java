package org.persimmonwalk.port;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.persimmonwalk.id.ObjectName;
import org.persimmonwalk.model.StoredConfiguration;

/** The platform's object store. */
public interface ObjectStore {

  /**
   * Reads an object, empty if there is none. The stage fails with {@link
   * org.persimmonwalk.result.PersimmonwalkException} if the store does not answer.
   */
  CompletionStage<Optional<StoredConfiguration>> get(ObjectName name);

  /**
   * Writes an object. The stage fails with {@link org.persimmonwalk.result.PersimmonwalkException}
   * if the store does not confirm the write.
   */
  CompletionStage<Void> put(ObjectName name, StoredConfiguration content);
}

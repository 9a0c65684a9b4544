package org.persimmonwalk.internal.operator.fleet;

import java.util.concurrent.CompletionStage;
import org.persimmonwalk.model.SocketEndpoint;

/**
 * Client of the administration interfaces of entry hosts. The returned stages fail with {@link
 * org.persimmonwalk.result.PersimmonwalkException} and may complete on any thread.
 */
public interface HostAdministration extends AutoCloseable {

  /** Requests the state of the host at the endpoint. */
  CompletionStage<HostReport> state(SocketEndpoint endpoint);

  /** Tells the host at the endpoint to drain, that is, to begin a planned stop. */
  CompletionStage<Void> drain(SocketEndpoint endpoint);

  @Override
  default void close() {}
}

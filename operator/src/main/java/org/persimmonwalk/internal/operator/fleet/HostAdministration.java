package org.persimmonwalk.internal.operator.fleet;

import java.util.concurrent.CompletionStage;
import org.persimmonwalk.model.SocketEndpoint;

/**
 * The administration interfaces of entry hosts. The stages fail with {@link
 * org.persimmonwalk.result.PersimmonwalkException}.
 */
public interface HostAdministration extends AutoCloseable {

  /** Reads the state of a host. */
  CompletionStage<HostReport> state(SocketEndpoint endpoint);

  /** Asks a host to stop as planned. */
  CompletionStage<Void> drain(SocketEndpoint endpoint);

  @Override
  default void close() {}
}

package org.persimmonwalk.internal.operator.command;

import java.util.Optional;
import org.persimmonwalk.internal.operator.fleet.HostAdministration;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.ObjectStore;
import org.persimmonwalk.port.TableService;
import org.persimmonwalk.release.RetryPause;

/** What subcommands reach outside of their process. */
public interface OperatorEnvironment {

  /** Opens the platform. */
  PlatformAccess platform(SocketEndpoint endpoint);

  /** Opens the administration interfaces of entry hosts. */
  HostAdministration hosts(Optional<String> token);

  /** Returns a source of new caller keys. */
  KeySource keys();

  /** Returns the clock that limits waits. */
  MonotonicClock clock();

  /** Returns the pause between attempts to publish. */
  RetryPause pause();

  /** The parts of the platform that operators use. */
  interface PlatformAccess extends AutoCloseable {
    /** Returns the table service. */
    TableService table();

    /** Returns the object store. */
    ObjectStore objects();

    @Override
    default void close() {}
  }
}

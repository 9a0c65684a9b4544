package org.persimmonwalk.internal.operator.command;

import java.util.Optional;
import org.persimmonwalk.internal.operator.fleet.HostAdministration;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.ObjectStore;
import org.persimmonwalk.port.TableService;
import org.persimmonwalk.release.RetryPause;

/** The external dependencies of the subcommands, which tests replace by fakes. */
public interface OperatorEnvironment {

  /** Returns a client of the platform at the endpoint; the caller closes it. */
  PlatformAccess platform(SocketEndpoint endpoint);

  /** Returns a client of the administration interfaces of entry hosts; the caller closes it. */
  HostAdministration hosts(Optional<String> token);

  /** Returns a source of new caller keys. */
  KeySource keys();

  /** Returns the clock that measures the time limit of polling. */
  MonotonicClock clock();

  /** Returns the pause between the attempts to publish a release note. */
  RetryPause pause();

  /** A client of the services of the platform that subcommands use. */
  interface PlatformAccess extends AutoCloseable {
    /** Returns the table service. */
    TableService table();

    /** Returns the object store. */
    ObjectStore objects();

    @Override
    default void close() {}
  }
}

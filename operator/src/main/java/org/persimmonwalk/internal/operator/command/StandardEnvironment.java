package org.persimmonwalk.internal.operator.command;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.internal.operator.fleet.HostAdministration;
import org.persimmonwalk.internal.operator.fleet.HttpHostAdministration;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.ObjectStore;
import org.persimmonwalk.port.TableService;
import org.persimmonwalk.release.RetryPause;
import org.persimmonwalk.store.PlatformClient;
import org.persimmonwalk.store.PlatformObjectStore;
import org.persimmonwalk.store.PlatformSettings;
import org.persimmonwalk.store.PlatformTableService;
import org.persimmonwalk.store.RowCodecs;

/** The environment outside of tests: reaches the platform and the entry hosts over HTTP. */
public final class StandardEnvironment implements OperatorEnvironment {
  /** The command line runs in no availability zone; the platform only logs the name. */
  private static final AvailabilityZone ZONE = AvailabilityZone.of("operator");

  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(3);

  private StandardEnvironment() {}

  /** Returns the environment. */
  public static StandardEnvironment create() {
    return new StandardEnvironment();
  }

  @Override
  public PlatformAccess platform(SocketEndpoint endpoint) {
    return HttpPlatform.of(
        PlatformClient.create(PlatformSettings.of(endpoint, ZONE).withTimeout(PLATFORM_TIMEOUT)));
  }

  @Override
  public HostAdministration hosts(Optional<String> token) {
    return HttpHostAdministration.of(token);
  }

  @Override
  public KeySource keys() {
    return KeySource.secure();
  }

  @Override
  public MonotonicClock clock() {
    return MonotonicClock.system();
  }

  @Override
  public RetryPause pause() {
    return RetryPause.growing();
  }

  /** The services of the platform over one HTTP client. */
  private record HttpPlatform(PlatformClient client, TableService table, ObjectStore objects)
      implements PlatformAccess {

    static HttpPlatform of(PlatformClient client) {
      return new HttpPlatform(
          client,
          PlatformTableService.of(client, RowCodecs.standard()),
          PlatformObjectStore.of(client));
    }

    @Override
    public void close() {
      client.close();
    }
  }
}

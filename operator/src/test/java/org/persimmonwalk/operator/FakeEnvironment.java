package org.persimmonwalk.operator;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.persimmonwalk.internal.operator.command.KeySource;
import org.persimmonwalk.internal.operator.command.OperatorEnvironment;
import org.persimmonwalk.internal.operator.command.StandardEnvironment;
import org.persimmonwalk.internal.operator.fleet.HostAdministration;
import org.persimmonwalk.internal.operator.fleet.HostReport;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.release.RetryPause;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.testing.FakeClock;

/**
 * Replaces entry hosts by fixed reports that are returned at once, drops the pauses between
 * retries, and advances the clock by 1 s with each reading, so that time limits pass quickly. The
 * platform is reached over HTTP as outside of tests.
 */
final class FakeEnvironment implements OperatorEnvironment {
  private final Map<SocketEndpoint, HostReport> reports;
  private final FakeClock clock = new FakeClock();

  private FakeEnvironment(Map<SocketEndpoint, HostReport> reports) {
    this.reports = reports;
  }

  /** Returns an environment in which only the hosts with a report answer. */
  static FakeEnvironment of(Map<SocketEndpoint, HostReport> reports) {
    return new FakeEnvironment(reports);
  }

  @Override
  public PlatformAccess platform(SocketEndpoint endpoint) {
    return StandardEnvironment.create().platform(endpoint);
  }

  @Override
  public HostAdministration hosts(Optional<String> token) {
    return new HostAdministration() {
      @Override
      public CompletionStage<HostReport> state(SocketEndpoint endpoint) {
        return reports.containsKey(endpoint)
            ? CompletableFuture.completedStage(reports.get(endpoint))
            : CompletableFuture.failedStage(
                PersimmonwalkException.of(ResultCode.HOST_UNAVAILABLE, endpoint + " is down"));
      }

      @Override
      public CompletionStage<Void> drain(SocketEndpoint endpoint) {
        return CompletableFuture.completedStage(null);
      }
    };
  }

  @Override
  public KeySource keys() {
    return () -> "key-of-the-test";
  }

  @Override
  public MonotonicClock clock() {
    return () -> {
      clock.advance(Duration.ofSeconds(1));
      return clock.now();
    };
  }

  @Override
  public RetryPause pause() {
    return repetition -> CompletableFuture.completedStage(null);
  }
}

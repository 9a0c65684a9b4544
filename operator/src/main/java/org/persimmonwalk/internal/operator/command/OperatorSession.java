package org.persimmonwalk.internal.operator.command;

import java.util.Optional;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.internal.operator.fleet.FleetGoal;
import org.persimmonwalk.internal.operator.fleet.FleetPoll;
import org.persimmonwalk.internal.operator.fleet.FleetView;
import org.persimmonwalk.internal.operator.fleet.HostAdministration;
import org.persimmonwalk.internal.operator.note.FaultMessages;
import org.persimmonwalk.internal.operator.output.Output;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.release.PublishResult;
import org.persimmonwalk.release.ReleaseNote;
import org.persimmonwalk.release.ReleaseNotePublisher;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/**
 * The context of one run of a subcommand: its options, its output, and clients of the platform and
 * the entry hosts, which are created on first use. It is used by the main thread only.
 */
public final class OperatorSession implements AutoCloseable {
  private final CommonOptions options;
  private final OperatorEnvironment environment;
  private final Output output;
  private Optional<OperatorEnvironment.PlatformAccess> platform = Optional.empty();
  private Optional<HostAdministration> hosts = Optional.empty();

  private OperatorSession(CommonOptions options, OperatorEnvironment environment, Output output) {
    this.options = options;
    this.environment = environment;
    this.output = output;
  }

  /** Returns a session that has not created any client yet. */
  public static OperatorSession of(
      CommonOptions options, OperatorEnvironment environment, Output output) {
    return new OperatorSession(options, environment, output);
  }

  CommonOptions options() {
    return options;
  }

  Output output() {
    return output;
  }

  KeySource keys() {
    return environment.keys();
  }

  ConfigurationReader configurations() {
    return ConfigurationReader.of(openPlatform());
  }

  HostAdministration hosts() {
    if (hosts.isEmpty()) {
      hosts = Optional.of(environment.hosts(options.token()));
    }
    return hosts.get();
  }

  /** Requests the state of each host of {@code --hosts} once. */
  FleetView pollHosts() {
    return FleetPoll.of(hosts(), environment.clock())
        .run(options.hostEndpoints(), FleetGoal.onePoll(), options.waitLimit(), progress -> {});
  }

  /**
   * Publishes a release note and returns the revision that it led to.
   *
   * @throws PersimmonwalkException if the release note is refused, or if publishing it failed or
   *     may have failed; the code tells which
   */
  Revision publish(ReleaseNote note) {
    OperatorEnvironment.PlatformAccess access = openPlatform();
    PublishResult result =
        Stages.await(
            ReleaseNotePublisher.of(
                    access.table(), access.objects(), RandomSource.system(), environment.pause())
                .publish(note));
    if (result instanceof PublishResult.Refused refused) {
      throw FaultMessages.exception(refused.code(), refused.faults());
    } else if (result instanceof PublishResult.Failed failed) {
      String label = failed.code().label() + ": ";
      String message = failed.message();
      throw PersimmonwalkException.of(
          failed.code(), message.startsWith(label) ? message.substring(label.length()) : message);
    }
    return ((PublishResult.Accepted) result).revision();
  }

  /**
   * With {@code --wait}, waits until all hosts have the revision or a newer one in force.
   *
   * @throws PersimmonwalkException if some hosts do not have it in force within the time limit
   */
  void awaitRevision(Revision revision) {
    if (!options.waitsForRevision()) {
      return;
    }
    int count = (int) options.hostEndpoints().stream().distinct().count();
    FleetGoal goal = FleetGoal.revision(revision);
    FleetView finalView =
        FleetPoll.of(hosts(), environment.clock())
            .run(
                options.hostEndpoints(),
                goal,
                options.waitLimit(),
                view -> output.progress(progress(view, count, revision)));
    if (finalView.reached() < count) {
      throw PersimmonwalkException.of(
          ResultCode.REVISION_NOT_EVERYWHERE,
          progress(finalView, count, revision) + "; check " + endpointsBehind(finalView, goal));
    }
  }

  /**
   * Checks that every host of {@code --hosts} has reported its state.
   *
   * @throws PersimmonwalkException with the code of the first failure if a request failed, or with
   *     {@link ResultCode#HOST_UNAVAILABLE} if hosts were not polled within the time limit
   */
  void requireAllReported(FleetView view) {
    if (!view.failures().isEmpty()) {
      String list =
          String.join("\n  ", view.failures().stream().map(Throwable::getMessage).toList());
      throw PersimmonwalkException.of(
          view.failures().get(0).code(),
          view.failures().size() + " host(s) did not report their state:\n  " + list);
    }
    int count = (int) options.hostEndpoints().stream().distinct().count();
    if (view.results().size() < count) {
      throw PersimmonwalkException.of(
          ResultCode.HOST_UNAVAILABLE,
          (count - view.results().size())
              + " host(s) were not polled in time; raise --wait-seconds");
    }
  }

  @Override
  public void close() {
    platform.ifPresent(OperatorEnvironment.PlatformAccess::close);
    hosts.ifPresent(HostAdministration::close);
  }

  private OperatorEnvironment.PlatformAccess openPlatform() {
    if (platform.isEmpty()) {
      platform = Optional.of(environment.platform(options.platformEndpoint()));
    }
    return platform.get();
  }

  private String endpointsBehind(FleetView view, FleetGoal goal) {
    return String.join(
        ", ",
        options.hostEndpoints().stream()
            .distinct()
            .filter(
                endpoint ->
                    !view.results().containsKey(endpoint)
                        || !goal.isReachedBy(view.results().get(endpoint)))
            .map(Object::toString)
            .toList());
  }

  private static String progress(FleetView view, int count, Revision revision) {
    return view.reached() + " of " + count + " hosts on revision " + revision;
  }
}

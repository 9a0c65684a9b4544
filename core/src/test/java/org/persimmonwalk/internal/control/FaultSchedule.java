package org.persimmonwalk.internal.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.acknowledgement.AcknowledgementOutcome;
import org.persimmonwalk.acknowledgement.AcknowledgementPolicy;
import org.persimmonwalk.acknowledgement.PendingWrite;
import org.persimmonwalk.admission.KeyPolicy;
import org.persimmonwalk.blackboard.Command;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.Snapshot;
import org.persimmonwalk.command.FenceServer;
import org.persimmonwalk.command.LoadConfiguration;
import org.persimmonwalk.command.PromoteServer;
import org.persimmonwalk.command.ReadTableRow;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.ObjectName;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.control.key.KeyController;
import org.persimmonwalk.model.CallerKey;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.ConfigurationRow;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.ServerRole;
import org.persimmonwalk.model.ServerSample;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.observation.ConfigurationLoaded;
import org.persimmonwalk.observation.TableRowRead;
import org.persimmonwalk.routing.MinimumPosition;
import org.persimmonwalk.routing.RoutingDecision;
import org.persimmonwalk.routing.RoutingRequest;
import org.persimmonwalk.routing.SessionRouter;
import org.persimmonwalk.routing.StatementKind;
import org.persimmonwalk.testing.Configurations;
import org.persimmonwalk.testing.FailoverFleet;
import org.persimmonwalk.testing.FailoverHost;
import org.persimmonwalk.testing.FakeLinks;

/** Runs a schedule of faults against three hosts and collects the invariants that are violated. */
final class FaultSchedule {
  private static final List<String> SERVERS = List.of("a", "b", "c");
  private static final Duration WRITE_INTERVAL = Duration.ofMillis(40);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(15);
  private static final Duration ONE_WAY = Duration.ofMillis(3);
  private static final Duration GRACE_PERIOD = Duration.ofSeconds(5);
  private static final WorkspaceId WORKSPACE = WorkspaceId.of("oil");

  /** An acknowledged write of the one session, which reads through all hosts. */
  private record SessionWrite(long write, GroupPosition position) {}

  /** A session that was opened without a position, and its newest write at that time. */
  private record DeclaredSession(MonotonicTime at, Optional<SessionWrite> newestWrite) {}

  /** A configuration and the time at which it was published. */
  private record Published(Configuration configuration, MonotonicTime at) {}

  private final FailoverFleet fleet;
  private final SessionRouter router = SessionRouter.of(server -> 0);
  private final KeyPolicy keys = KeyPolicy.of(GRACE_PERIOD);
  private final Set<String> violations = new HashSet<>();
  private final List<Published> published = new ArrayList<>();
  private final Map<EntryHostId, DeclaredSession> declaredSessions = new HashMap<>();
  private final Map<EntryHostId, Revision> highestRevisions = new HashMap<>();
  private final Set<EntryHostId> hostsToPause = new HashSet<>();
  private Optional<SessionWrite> newestWrite = Optional.empty();
  private boolean serversFailed;
  private int storeFaults;

  private FaultSchedule(long seed) {
    fleet = FailoverFleet.of(3, seed, this::controllers, this::acknowledgement, WRITE_INTERVAL);
    fleet.hosts().forEach(host -> host.onCommand(command -> observe(host, command)));
    publish();
    fleet.time().after(CHECK_INTERVAL, this::checkInvariants);
  }

  /** Runs the faults, waits until all have ended, and returns the violated invariants. */
  static Set<String> run(List<FaultStep> steps, long seed) {
    FaultSchedule schedule = new FaultSchedule(seed);
    schedule.fleet.time().advance(Duration.ofSeconds(2));
    for (FaultStep step : steps) {
      schedule.apply(step);
      schedule.fleet.time().advance(Duration.ofMillis(step.gapMillis()));
    }
    schedule.fleet.time().advance(Duration.ofSeconds(25));
    schedule.checkEnd();
    return schedule.violations;
  }

  private List<Controller> controllers(EntryHostId host) {
    List<Controller> all = new ArrayList<>(FailoverFleet.controllers(host));
    all.add(KeyController.create());
    return all;
  }

  private AcknowledgementPolicy acknowledgement(FailoverHost host) {
    AcknowledgementPolicy policy = FailoverFleet.replicatedAcknowledgement(host);
    return (write, now) ->
        policy.register(
            new PendingWrite(
                write.group(),
                write.position(),
                write.deadline(),
                outcome -> recordOutcome(write, outcome)),
            now);
  }

  private void recordOutcome(PendingWrite write, AcknowledgementOutcome outcome) {
    write.callback().accept(outcome);
    if (outcome == AcknowledgementOutcome.CONFIRMED) {
      long number = fleet.acknowledged().get(fleet.acknowledged().size() - 1).write();
      boolean isNewer =
          newestWrite.isEmpty() || write.position().compareTo(newestWrite.get().position()) > 0;
      newestWrite = isNewer ? Optional.of(new SessionWrite(number, write.position())) : newestWrite;
    }
  }

  private void apply(FaultStep step) {
    FailoverHost host = fleet.hosts().get(step.target());
    String server = SERVERS.get(step.target());
    String primary = fleet.database().primary().orElse(server);
    switch (step.fault()) {
      case PRIMARY_ISOLATED -> isolateFromReplicasFirst(primary, step);
      case SERVER_ISOLATED -> isolate(server, step);
      case PRIMARY_STOPPED -> {
        serversFailed = true;
        fleet.database().stop(primary);
        scheduleEnd(step, () -> fleet.database().start(primary));
      }
      case HOST_CUT_FROM_PRIMARY -> {
        fleet.links().cut(host.id().value(), primary);
        scheduleEnd(step, () -> fleet.links().restore(host.id().value(), primary));
      }
      case REPLICAS_BEHIND -> {
        fleet.database().setReplayLag(200);
        scheduleEnd(step, () -> fleet.database().setReplayLag(0));
      }
      case HOST_PAUSED -> pause(host, step.durationMillis());
      case HOST_KILLED -> {
        if (step.target() > 0) {
          host.die();
        }
      }
      case PROMOTER_PAUSED -> hostsToPause.add(host.id());
      case STORE_DOWN -> {
        storeFaults++;
        fleet.links().isolate(FakeLinks.PLATFORM);
        scheduleEnd(step, this::endStoreFault);
      }
      case STORE_ANSWERS_LOST -> {
        fleet.tables().setLostAnswerPercent(100);
        scheduleEnd(step, () -> fleet.tables().setLostAnswerPercent(0));
      }
      case KEY_REPLACED -> publish();
      default -> {
        Published older = published.get(Math.max(0, published.size() - 2));
        host.loop().post(new ConfigurationLoaded(older.configuration(), older.at()));
      }
    }
  }

  /** Cuts the primary off from its replicas first, while hosts still reach it for 300 ms. */
  private void isolateFromReplicasFirst(String primary, FaultStep step) {
    serversFailed = true;
    List<String> replicas = SERVERS.stream().filter(name -> !name.equals(primary)).toList();
    replicas.forEach(replica -> fleet.links().cut(primary, replica));
    fleet.time().after(Duration.ofMillis(300), () -> fleet.links().isolate(primary));
    scheduleEnd(
        step,
        () -> {
          replicas.forEach(replica -> fleet.links().restore(primary, replica));
          fleet.links().heal(primary);
        });
  }

  private void isolate(String server, FaultStep step) {
    serversFailed = true;
    fleet.links().isolate(server);
    scheduleEnd(step, () -> fleet.links().heal(server));
  }

  private void endStoreFault() {
    storeFaults--;
    if (storeFaults == 0) {
      fleet.links().heal(FakeLinks.PLATFORM);
    }
  }

  private void pause(FailoverHost host, int millis) {
    host.pause();
    fleet.time().after(Duration.ofMillis(millis), host::resume);
  }

  private void scheduleEnd(FaultStep step, Runnable action) {
    fleet.time().after(Duration.ofMillis(step.durationMillis()), action);
  }

  /** Answers reads of the configuration, and pauses a host in the middle of a promotion. */
  private void observe(FailoverHost host, Command command) {
    boolean promoting = command instanceof FenceServer || command instanceof PromoteServer;
    if (promoting && hostsToPause.remove(host.id())) {
      pause(host, 1200);
    }
    if (storeFaults > 0) {
      return;
    }
    Published current = published.get(published.size() - 1);
    MonotonicTime now = fleet.now();
    if (command instanceof LoadConfiguration) {
      answer(host, () -> host.loop().post(new ConfigurationLoaded(current.configuration(), now)));
    } else if (command instanceof ReadTableRow read && read.row().equals(ConfigurationRow.ROW)) {
      Revision revision = current.configuration().revision();
      ConfigurationRow row =
          ConfigurationRow.of(revision, current.configuration().note(), ObjectName.of("object"));
      RowVersion version = RowVersion.of(published.size());
      answer(
          host,
          () -> host.loop().post(new TableRowRead(read.row(), version, Optional.of(row), now)));
    }
  }

  private void answer(FailoverHost host, Runnable action) {
    fleet.time().after(ONE_WAY.multipliedBy(2), action);
  }

  /** Publishes the next revision, whose only key differs from those of earlier revisions. */
  private void publish() {
    int number = published.size() + 2;
    CallerKey key = callerKey(published.size());
    Configuration next =
        new Configuration(
            Revision.of(number),
            ReleaseNoteId.of("note-" + number),
            Map.of(
                WORKSPACE,
                Workspace.of(WORKSPACE, 100, 20, Set.of(fleet.database().configuration().id()))),
            Map.of(key.hash(), key),
            Map.of(fleet.database().configuration().id(), fleet.database().configuration()));
    published.add(new Published(next, fleet.now()));
  }

  private static CallerKey callerKey(int index) {
    return Configurations.key("key-" + index, WORKSPACE.value());
  }

  private void checkInvariants() {
    for (FailoverHost host : fleet.hosts()) {
      if (host.isRunning()) {
        readWithPosition(host);
        readDeclared(host);
        checkConfiguration(host);
      }
    }
    fleet.time().after(CHECK_INTERVAL, this::checkInvariants);
  }

  private void readWithPosition(FailoverHost host) {
    newestWrite.ifPresent(
        write -> {
          MinimumPosition minimumPosition = MinimumPosition.known(write.position());
          if (route(host, minimumPosition, fleet.now())
              instanceof RoutingDecision.Execute execute) {
            read(host, execute, newestWrite, "read-your-writes with position");
          }
        });
  }

  private void readDeclared(FailoverHost host) {
    DeclaredSession session =
        declaredSessions.computeIfAbsent(
            host.id(), id -> new DeclaredSession(fleet.now(), newestWrite));
    RoutingDecision decision = route(host, MinimumPosition.unknown(session.at()), session.at());
    if (decision instanceof RoutingDecision.Execute execute) {
      declaredSessions.remove(host.id());
      read(host, execute, session.newestWrite(), "read-your-writes of a declared session");
    }
  }

  private RoutingDecision route(
      FailoverHost host, MinimumPosition minimumPosition, MonotonicTime arrivedAt) {
    RoutingRequest request =
        new RoutingRequest(
            fleet.database().configuration().id(),
            StatementKind.READ,
            minimumPosition,
            Optional.empty(),
            AvailabilityZone.of("zone-" + SERVERS.get(fleet.hosts().indexOf(host))),
            arrivedAt);
    return router.route(host.loop().snapshot(), request, fleet.now());
  }

  private void read(
      FailoverHost host,
      RoutingDecision.Execute execute,
      Optional<SessionWrite> expected,
      String check) {
    String server = execute.server().id().value();
    fleet
        .time()
        .after(
            ONE_WAY,
            () -> {
              boolean answers = fleet.database().isReachable(host.id().value(), server);
              if (answers && !expected.stream().allMatch(write -> contains(server, write))) {
                violations.add(check);
              }
            });
  }

  private boolean contains(String server, SessionWrite write) {
    ServerSample sample = fleet.database().sample(server);
    boolean replayed =
        sample.role() == ServerRole.PRIMARY
            || sample.replayed().covers(write.position().position());
    return replayed && fleet.database().writes(server).contains(write.write());
  }

  private void checkConfiguration(FailoverHost host) {
    Snapshot snapshot = host.loop().snapshot();
    Revision revision = snapshot.get(Entries.CONFIGURATION).revision();
    if (highestRevisions.getOrDefault(host.id(), Revision.NONE).isNewerThan(revision)) {
      violations.add("configuration went back to an older revision");
    }
    highestRevisions.put(host.id(), revision);
    for (int index = 0; index + 1 < published.size(); index++) {
      boolean expired =
          fleet.now().since(published.get(index + 1).at()).compareTo(GRACE_PERIOD) > 0;
      if (expired && accepts(snapshot, index)) {
        violations.add("withdrawn key accepted after the grace period");
      }
    }
  }

  private boolean accepts(Snapshot snapshot, int index) {
    return keys.verify(snapshot, WORKSPACE, Optional.of(callerKey(index).hash()), fleet.now())
        .isEmpty();
  }

  private void checkEnd() {
    if (!fleet.lostWrites().isEmpty()) {
      violations.add("acknowledged write lost");
    }
    if (fleet.acknowledged().stream()
        .anyMatch(FailoverFleet.AcknowledgedWrite::committedByReplacedPrimary)) {
      violations.add("write acknowledged by a replaced primary");
    }
    if (!serversFailed && fleet.database().promotions() > 0) {
      violations.add("promotion although the primary reaches its replicas");
    }
    if (fleet.acknowledged().stream()
        .noneMatch(entry -> entry.term().equals(fleet.database().term()))) {
      violations.add("no write acknowledged after the faults");
    }
    for (FailoverHost host : fleet.hosts()) {
      if (host.isRunning() && !accepts(host.loop().snapshot(), published.size() - 1)) {
        violations.add("valid key refused after the faults");
      }
    }
  }
}

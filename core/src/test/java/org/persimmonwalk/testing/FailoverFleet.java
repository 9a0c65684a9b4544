package org.persimmonwalk.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.persimmonwalk.acknowledgement.AcknowledgementOutcome;
import org.persimmonwalk.acknowledgement.AcknowledgementPolicy;
import org.persimmonwalk.acknowledgement.PendingWrite;
import org.persimmonwalk.acknowledgement.ReplicatedAcknowledgement;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.internal.control.configuration.ConfigurationController;
import org.persimmonwalk.internal.control.position.ReplicaPositionController;
import org.persimmonwalk.internal.control.position.SamplingController;
import org.persimmonwalk.internal.control.position.SamplingSettings;
import org.persimmonwalk.internal.control.primary.FollowController;
import org.persimmonwalk.internal.control.primary.PrimaryController;
import org.persimmonwalk.internal.control.primary.PromotionSettings;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.Term;
import org.persimmonwalk.observation.ConfigurationLoaded;
import org.persimmonwalk.port.MonotonicClock;
import org.persimmonwalk.port.RandomSource;

/**
 * Simulated entry hosts that write to one fake database group and promote a new primary when the
 * old one fails. They share one fake table service. Tests drive it with {@link SimulatedTime} and
 * inject faults through {@link FakeLinks}, the group, the table service and the hosts.
 */
public final class FailoverFleet {
  private static final Duration ROUND_INTERVAL = Duration.ofMillis(10);
  private static final Duration REPLICATION_INTERVAL = Duration.ofMillis(5);
  private static final Duration WRITE_DEADLINE = Duration.ofSeconds(5);
  private static final Duration MAX_CONFIRMATION_AGE = Duration.ofSeconds(1);

  /**
   * An acknowledged write.
   *
   * @param write the number of the write
   * @param host the host that acknowledged the write
   * @param term the term of the primary that committed the write
   * @param at when the write was acknowledged
   * @param committedByReplacedPrimary whether a higher term already had a primary when the write
   *     was committed
   */
  public record AcknowledgedWrite(
      long write, String host, Term term, MonotonicTime at, boolean committedByReplacedPrimary) {}

  private record CommittedWrite(GroupPosition position, boolean byReplacedPrimary) {}

  /** Creates the controllers of a host. */
  public interface ControllerFactory {
    /** Returns the controllers of a host, in the order in which they run. */
    List<Controller> create(EntryHostId host);
  }

  /** Creates the policy by which a host acknowledges writes. */
  public interface AcknowledgementFactory {
    /** Returns the policy that decides when the host acknowledges a write. */
    AcknowledgementPolicy create(FailoverHost host);
  }

  private final SimulatedTime time = new SimulatedTime();
  private final MonotonicClock clock = () -> MonotonicTime.of(time.now());
  private final FakeLinks links = new FakeLinks();
  private final FakeDatabaseGroup database = FakeDatabaseGroup.of(3, links, clock);
  private final FakeTableStore tables;
  private final List<FailoverHost> hosts = new ArrayList<>();
  private final List<AcknowledgedWrite> acknowledged = new ArrayList<>();
  private long nextWrite;

  private FailoverFleet(RandomSource random) {
    tables = new FakeTableStore(time, random);
  }

  /**
   * Returns a fleet of the given size. Rounds and writes of each host start at a random offset, and
   * each host has its own random sequence derived from the seed.
   */
  public static FailoverFleet of(
      int size,
      long seed,
      ControllerFactory controllers,
      AcknowledgementFactory acknowledgements,
      Duration writeInterval) {
    RandomSource random = RandomSource.seeded(seed);
    FailoverFleet fleet = new FailoverFleet(random);
    Set<EntryHostId> live =
        IntStream.range(0, size)
            .mapToObj(index -> EntryHostId.of("host-" + index))
            .collect(Collectors.toSet());
    fleet.runEvery(REPLICATION_INTERVAL, fleet.database::replicate);
    for (EntryHostId id : live.stream().sorted().toList()) {
      List<Controller> all = new ArrayList<>();
      all.add((blackboard, context) -> blackboard.put(Entries.LIVE_HOSTS, live));
      all.addAll(controllers.create(id));
      FailoverHost host =
          FailoverHost.of(id, fleet, all, RandomSource.seeded(seed * 31 + random.nextInt(1000)));
      AcknowledgementPolicy acknowledgement = acknowledgements.create(host);
      host.loop().post(new ConfigurationLoaded(fleet.configuration(), fleet.now()));
      fleet.hosts.add(host);
      fleet.time.after(
          Duration.ofNanos(random.nextInt(10_000_000)),
          () -> fleet.runEvery(ROUND_INTERVAL, host::runRound));
      fleet.time.after(
          Duration.ofNanos(random.nextInt(20_000_000)),
          () -> fleet.runEvery(writeInterval, () -> fleet.write(host, acknowledgement)));
    }
    return fleet;
  }

  /**
   * Returns a fleet with the production controllers and acknowledgement policy; each host writes
   * every 20 ms.
   */
  public static FailoverFleet standard(int size, long seed) {
    return of(
        size,
        seed,
        FailoverFleet::controllers,
        FailoverFleet::replicatedAcknowledgement,
        Duration.ofMillis(20));
  }

  /** Returns the production controllers that take part in a failover. */
  public static List<Controller> controllers(EntryHostId host) {
    PromotionSettings settings = PromotionSettings.defaults();
    return List.of(
        ConfigurationController.create(),
        SamplingController.of(SamplingSettings.defaults()),
        ReplicaPositionController.create(),
        PrimaryController.of(host, settings),
        FollowController.of(host, settings));
  }

  /** Returns the production acknowledgement policy, connected to the host's control loop. */
  public static AcknowledgementPolicy replicatedAcknowledgement(FailoverHost host) {
    ReplicatedAcknowledgement acknowledgement =
        ReplicatedAcknowledgement.of(1000, host.loop()::post);
    host.loop().addListener(acknowledgement);
    return acknowledgement;
  }

  /** Returns the simulated time; advancing it runs the fleet. */
  public SimulatedTime time() {
    return time;
  }

  /** Returns the clock of all hosts and servers. */
  public MonotonicClock clock() {
    return clock;
  }

  /** Returns the links between the hosts, the servers and the platform. */
  public FakeLinks links() {
    return links;
  }

  /** Returns the database group. */
  public FakeDatabaseGroup database() {
    return database;
  }

  /** Returns the table service. */
  public FakeTableStore tables() {
    return tables;
  }

  /** Returns the hosts in order of their identifiers. */
  public List<FailoverHost> hosts() {
    return hosts;
  }

  /** Returns the acknowledged writes in the order in which they were acknowledged. */
  public List<AcknowledgedWrite> acknowledged() {
    return acknowledged;
  }

  /** Returns the acknowledged writes that the current primary does not hold. */
  public List<AcknowledgedWrite> lostWrites() {
    Set<Long> kept = database.writes(database.primary().orElseThrow());
    return acknowledged.stream().filter(entry -> !kept.contains(entry.write())).toList();
  }

  /** Returns the current time. */
  public MonotonicTime now() {
    return clock.now();
  }

  private void runEvery(Duration interval, Runnable action) {
    action.run();
    time.after(interval, () -> runEvery(interval, action));
  }

  /**
   * Calls a service on a server after the one-way latency. The receiver gets no answer if the
   * server is not reachable when the request or the answer arrives.
   */
  <T> void call(String from, String to, Supplier<T> service, Consumer<T> receiver) {
    time.after(
        links.latency(from, to),
        () -> {
          if (database.isReachable(from, to)) {
            T result = service.get();
            time.after(
                links.latency(from, to),
                () -> {
                  if (database.isReachable(from, to)) {
                    receiver.accept(result);
                  }
                });
          }
        });
  }

  /**
   * Sends a write only if the primary was confirmed in the last second, as traffic threads do.
   * Otherwise the write is skipped.
   */
  private void write(FailoverHost host, AcknowledgementPolicy acknowledgement) {
    GroupView group = host.loop().snapshot().get(Entries.GROUPS).get(database.configuration().id());
    boolean confirmed =
        host.isRunning()
            && group != null
            && group
                .newestConfirmed()
                .filter(
                    newest -> now().since(newest.startedAt()).compareTo(MAX_CONFIRMATION_AGE) <= 0)
                .isPresent();
    if (!confirmed || group.primary().isEmpty()) {
      return;
    }
    String primary = group.primary().get().value();
    long write = nextWrite++;
    call(
        host.id().value(),
        primary,
        () -> commit(primary, write),
        committed -> committed.ifPresent(done -> register(host, acknowledgement, write, done)));
  }

  private Optional<CommittedWrite> commit(String primary, long write) {
    return database
        .write(primary, write)
        .map(position -> new CommittedWrite(position, database.term().isAfter(position.term())));
  }

  private void register(
      FailoverHost host,
      AcknowledgementPolicy acknowledgement,
      long write,
      CommittedWrite committed) {
    Term term = committed.position().term();
    acknowledgement.register(
        new PendingWrite(
            database.configuration().id(),
            committed.position(),
            now().plus(WRITE_DEADLINE),
            outcome -> {
              if (outcome == AcknowledgementOutcome.CONFIRMED) {
                acknowledged.add(
                    new AcknowledgedWrite(
                        write, host.id().value(), term, now(), committed.byReplacedPrimary()));
              }
            }),
        now());
  }

  private Configuration configuration() {
    return new Configuration(
        Revision.of(1),
        ReleaseNoteId.of("first"),
        Map.of(),
        Map.of(),
        Map.of(database.configuration().id(), database.configuration()));
  }
}

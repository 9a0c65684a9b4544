package org.persimmonwalk.bench.capacity;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.persimmonwalk.bench.LocalDeployment;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.entryhost.TrafficListener;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.internal.traffic.backend.SampleRow;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.release.ReleaseItem;
import org.persimmonwalk.release.ReleaseNote;

/**
 * Measures the processor time that probes cost a real entry host without callers, at several
 * numbers of database groups. The added groups are aliases of the servers of one stand-in group.
 */
final class ProbeMeasurement {
  private static final List<Integer> GROUPS = List.of(1, 6, 11, 16);
  private static final int CONNECTIONS = 4;
  private static final Duration MAXIMUM_AGE = Duration.ofSeconds(30);
  private static final long SETTLING_MILLISECONDS = 5_000;
  private static final long WARM_UP_MILLISECONDS = 20_000;
  private static final int POLL_MILLISECONDS = 50;
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  /** The type byte, the length field and the zero byte that ends the text. */
  private static final int QUERY_OVERHEAD_BYTES = 6;

  private final CapacityReport report;
  private final int seconds;

  private ProbeMeasurement(CapacityReport report, int seconds) {
    this.report = report;
    this.seconds = seconds;
  }

  static ProbeMeasurement of(CapacityReport report, int seconds) {
    return new ProbeMeasurement(report, seconds);
  }

  void run() throws IOException, InterruptedException {
    try (LocalDeployment deployment = LocalDeployment.start(1, new TrafficListener() {})) {
      measureBytes(deployment);
      Thread.sleep(WARM_UP_MILLISECONDS);
      int configuredGroups = 1;
      long revision = 1;
      for (int groups : GROUPS) {
        if (groups > configuredGroups) {
          publish(deployment, revision, configuredGroups, groups);
          revision++;
          configuredGroups = groups;
        }
        awaitSamples(deployment, groups);
        measure(groups);
      }
    }
  }

  private void measureBytes(LocalDeployment deployment) throws IOException {
    int port = deployment.group().endpoint(BackendServerId.of("server-b")).port();
    try (RawCaller caller =
        RawCaller.connect(port, "bench", "bench", LocalDeployment.GROUP.value())) {
      int answer = caller.query(SampleRow.QUERY);
      report.note(
          "probe",
          "request "
              + (QUERY_OVERHEAD_BYTES + SampleRow.QUERY.length())
              + " bytes, answer "
              + answer
              + " bytes, without headers of TCP and IP");
    }
  }

  private void measure(int groups) throws InterruptedException {
    ThreadTimes before = ThreadTimes.ofNewestHost();
    long start = System.nanoTime();
    Thread.sleep(Duration.ofSeconds(seconds).toMillis());
    double elapsed = (System.nanoTime() - start) / NANOSECONDS_PER_SECOND;
    ThreadTimes times = ThreadTimes.ofNewestHost().minus(before);
    report.add(
        "processor time of probes in event loops, ms/s",
        "groups",
        "1 idle host",
        groups,
        times.traffic() / 1e6 / elapsed);
    report.add(
        "processor time of the control thread, ms/s",
        "groups",
        "1 idle host",
        groups,
        times.control() / 1e6 / elapsed);
    System.err.printf("measured: probes of %d groups%n", groups);
  }

  private static void publish(
      LocalDeployment deployment, long revision, int configuredGroups, int groups) {
    DatabaseGroup original =
        deployment
            .host(0)
            .snapshot()
            .get(Entries.CONFIGURATION)
            .groups()
            .get(LocalDeployment.GROUP);
    List<ReleaseItem> items = new ArrayList<>();
    for (int i = configuredGroups; i < groups; i++) {
      List<BackendServer> servers = new ArrayList<>();
      for (BackendServer server : original.servers()) {
        AvailabilityZone zone = server.zone();
        BackendServerId id = BackendServerId.of(server.id() + "-" + i);
        servers.add(BackendServer.of(id, zone, server.endpoint(), 1, CONNECTIONS));
      }
      DatabaseGroupId id = DatabaseGroupId.of("tanks-" + i);
      items.add(new ReleaseItem.GroupItem(DatabaseGroup.of(id, servers, MAXIMUM_AGE)));
    }
    deployment.publish(
        ReleaseNote.of(ReleaseNoteId.of("groups-" + groups), Revision.of(revision))
            .withAdded(items));
  }

  private static void awaitSamples(LocalDeployment deployment, int groups)
      throws InterruptedException {
    long limit = System.nanoTime() + Duration.ofSeconds(30).toNanos();
    while (sampledGroups(deployment) < groups) {
      if (System.nanoTime() > limit) {
        throw new IllegalStateException(
            "only "
                + sampledGroups(deployment)
                + " of "
                + groups
                + " groups were sampled within 30 s");
      }
      Thread.sleep(POLL_MILLISECONDS);
    }
    Thread.sleep(SETTLING_MILLISECONDS);
  }

  private static long sampledGroups(LocalDeployment deployment) {
    return deployment.host(0).snapshot().get(Entries.GROUPS).values().stream()
        .filter(group -> group.newestConfirmed().isPresent())
        .count();
  }
}

package review2;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * A small deployment with the bounds of the site sv-gauge: entry hosts, a store, and one replicated
 * database with four backends, one of
 * which is the new one of a release.
 */
final class Deployment implements AutoCloseable {
  static final List<String> ZONES = List.of("fi-south-a", "fi-south-b", "fi-south-c");
  private static final List<String> BACKEND_ZONES =
      List.of("fi-south-a", "fi-south-b", "fi-south-c", "fi-south-a");
  static final String KEY = "u6wsjnbanfqasnmgkcuy";
  static final String BOUNDS =
      "{\"seedLagS\":3,\"addrReuseS\":2,\"contactMs\":4000,\"ackMs\":5000,\"catchUpS\":4,"
          + "\"drainMs\":7000,\"graceS\":6,\"lossSlackMs\":200,\"configApplyMs\":3000,"
          + "\"rollbackSlackMs\":250,\"outerMs\":12000,\"revokeStrict\":true,\"revokeMs\":5000,"
          + "\"quotaWindowS\":5,\"quotaOverage\":0.1,\"quotaSlack\":20,\"recoveryS\":12,"
          + "\"fenceChecked\":false,\"thawSlackMs\":300}";

  final Path folder;
  final Record record;
  final Store store;
  final Group group;
  final List<Host> hosts = new ArrayList<>();
  private volatile boolean closed;
  private long highestFence = -1;
  private String lastPromoter = "";
  private int lowerFences;
  volatile Slowness slowness = id -> 0;

  Deployment(Record record) throws IOException {
    this.record = record;
    folder = Files.createTempDirectory("review-2-");
    store = new Store(record);
    group = new Group("tankdb1", record, 20, 600);
    group.start(BACKEND_ZONES);
    store.promotions = this::promote;
    store.put("op", "config", manifest(7, List.of(KEY)));
    group.backends.forEach(this::beat);
    Thread beats = new Thread(this::beatAll, "beats");
    beats.setDaemon(true);
    beats.start();
  }

  /** Returns a manifest with a route of each kind. */
  static String manifest(int version, List<String> keys) {
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + route("book", "primary", 800, 150, 1)
        + ","
        + route("view", "bounded_staleness", 2000, 500, 2)
        + ","
        + route("report", "read_own_writes", 800, 250, 2)
        + "],\"services\":[{\"name\":\"tankdb1\",\"healthPath\":\"/health\",\"maxConns\":54,"
        + "\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":0}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
        + "\"idleTimeoutMs\":15000,\"txIdleMs\":3000},\"tenants\":[{\"name\":\"nypu920\","
        + "\"apiKeys\":"
        + Json.write(keys)
        + ",\"priority\":1,\"ratePerS\":97,\"burst\":97}]}";
  }

  private static String route(
      String name, String kind, int timeout, int target, int priority) {
    return String.format(
        "{\"name\":\"r-%s\",\"databaseName\":\"%s\",\"prefix\":\"/\",\"routeKind\":\"%s\","
            + "\"timeoutMs\":%d,\"targetLatencyMs\":%d,\"priority\":%d,\"service\":\"tankdb1\","
            + "\"maxAttempts\":2,%s\"public\":false}",
        name, name, kind, timeout, target, priority,
        kind.equals("primary") ? "" : "\"maxStalenessMs\":" + (target == 500 ? 1500 : 2500) + ",");
  }

  Host start(String name, String zone) throws IOException {
    String platform = store.open(name);
    return start(name, zone, platform, platform);
  }

  /** Starts a host that reaches the promotion service at an address of its own. */
  Host start(String name, String zone, String platform, String cloud) throws IOException {
    Host host = new Host(name, zone, ZONES, platform, cloud, BOUNDS, folder);
    hosts.add(host);
    return host;
  }

  /** Writes the entry of a backend in the store, as the backend does. */
  void beat(Backend backend) {
    if (!backend.down && !backend.left) {
      store.put("servers", backend.id, backend.entry());
    }
  }

  /** Begins to replace a backend: it reports that it is draining, and serves on. */
  void release(Backend backend) {
    backend.draining = true;
    beat(backend);
    record.write("plan: %s reports draining", backend.id);
  }

  boolean awaitOtherLeader(Backend old, long millis) {
    long end = Record.now() + millis;
    while (Record.now() < end && group.leader() == old) {
      Store.sleep(20);
    }
    return group.leader() != old;
  }

  /** Returns the machine that ordered a promotion last. */
  synchronized String lastPromoter() {
    return lastPromoter;
  }

  /** Returns how many orders came with a lower fence number than one before. */
  synchronized int lowerFences() {
    return lowerFences;
  }

  private void beatAll() {
    while (!closed) {
      Store.sleep(1200);
      group.backends.forEach(this::beat);
    }
  }

  /** How long the platform takes for a call to promote a backend. */
  interface Slowness {
    long millis(String id);
  }

  private int promote(String machine, String service, String id, String holder, String fence) {
    receive(machine, id, holder, fence);
    long taken = slowness.millis(id);
    if (taken > 0) {
      Store.sleep(taken);
      record.write("platform: the call of %s for %s is done after %d ms", machine, id, taken);
    }
    return group.promote(id);
  }

  private synchronized void receive(String machine, String id, String holder, String fence) {
    record.write(
        "platform: %s orders the promotion of %s, holder %s, fence %s",
        machine, id, holder, fence);
    if (Long.parseLong(fence) < highestFence) {
      record.write(
          "ONE: the fence number %s of %s is lower than %d, which the platform has seen",
          fence, machine, highestFence);
      lowerFences++;
    }
    lastPromoter = machine;
    highestFence = Math.max(highestFence, Long.parseLong(fence));
  }

  @Override
  public void close() {
    closed = true;
    hosts.forEach(Host::close);
    group.close();
    store.close();
    if (System.getenv("KEEP") != null) {
      System.out.println("kept: " + folder);
      return;
    }
    for (int attempt = 0; attempt < 3 && !delete(folder); attempt++) {
      Store.sleep(200);
    }
  }

  /** Deletes the folder; returns whether it is gone. */
  private static boolean delete(Path folder) {
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException | UncheckedIOException e) {
      return false;
    }
    return !Files.exists(folder);
  }
}

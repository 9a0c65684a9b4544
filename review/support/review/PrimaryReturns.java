package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A primary is partitioned for some seconds and comes back while the platform, which is slow, has
 * not yet carried out the promotion that replaces it.
 */
final class PrimaryReturns extends Case {
  private static final long CUT_MILLIS = 6000;
  private static final long SLOW_MILLIS = 3000;
  private static final long END_MILLIS = 24_000;

  private final Map<String, Group.Entry> commits = new ConcurrentHashMap<>();
  private final Map<String, Backend> committedAt = new ConcurrentHashMap<>();
  private final Map<String, Double> acknowledged = new ConcurrentHashMap<>();
  private volatile double promotedAt = Double.MAX_VALUE;
  private volatile boolean stopped;

  public static void main(String[] arguments) throws Exception {
    Case.main(new PrimaryReturns(), arguments);
  }

  @Override
  boolean run() throws Exception {
    Group group = use(new Group("svc1", 54, 0, trace));
    List<Backend> backends = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Backend backend = new Backend(group, platform, "i-" + (i + 1), "zone-" + (i + 1), 3, 6);
      backend.setObserver(this::ran);
      backends.add(backend);
    }
    Backend old = backends.get(0);
    for (Backend backend : backends) {
      backend.start(backend == old);
    }
    group.start();
    platform.setPromotions(
        promotion -> {
          if (trouble) {
            Thread.sleep(SLOW_MILLIS);
          }
          int status = group.promote(promotion.id());
          trace.log("platform: promotion of %s carried out, %d", promotion.id(), status);
          return status;
        });
    new Manifest()
        .service("svc1", 54, 0)
        .route("bookings", "svc1", "primary", 800, 150, 0)
        .tenant("tenant1", "key1", 100, 100)
        .publish(platform, trace);
    List<EntryHost> hosts = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      hosts.add(host("front-" + (i + 1), "zone-" + (i % 3 + 1)));
    }
    for (EntryHost host : hosts) {
      host.awaitReady(20_000);
    }
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      EntryHost host = hosts.get(i % hosts.size());
      Thread thread = new Thread(() -> write(host), "client " + i);
      thread.start();
      clients.add(thread);
    }
    Thread.sleep(3000);
    if (acknowledged.isEmpty()) {
      throw new CannotRun("no write was acknowledged before the disruption");
    }
    double start = trace.now();
    if (trouble) {
      old.cutFromHosts(true);
      old.cutFromBackends(true);
      Thread.sleep(CUT_MILLIS);
      old.cutFromBackends(false);
      old.cutFromHosts(false);
    }
    while (trace.now() - start < END_MILLIS) {
      if (promotedAt == Double.MAX_VALUE && group.newestTerm() > 1) {
        promotedAt = trace.now();
        trace.log("the promotion has taken effect");
      }
      Thread.sleep(1);
    }
    stopped = true;
    for (Thread client : clients) {
      client.join();
    }
    int late = 0;
    int lost = 0;
    List<Group.Entry> log = group.leader().orElseThrow().logCopy();
    for (String id : acknowledged.keySet()) {
      Group.Entry commit = commits.get(id);
      if (commit == null) {
        continue;
      }
      boolean atOld = committedAt.get(id) == old && commit.term() == 1;
      if (atOld && commit.at() > promotedAt) {
        late++;
        trace.log(
            "RULE ONE: write %s committed at %s at %.1f, %.1f ms after the promotion took effect,"
                + " acknowledged at %.1f",
            id, old.id(), commit.at(), commit.at() - promotedAt, acknowledged.get(id));
      }
      if (!log.contains(commit)) {
        lost++;
      }
    }
    trace.say(
        "acknowledged %d, committed at the old primary after the promotion took effect and"
            + " acknowledged: %d; acknowledged and not in the newest primary's log: %d",
        acknowledged.size(), late, lost);
    return late == 0;
  }

  private void ran(Backend backend, String id, String text, Group.Entry commit) {
    if (commit != null) {
      commits.put(id, commit);
      committedAt.put(id, backend);
    }
    trace.log("%s runs %s %s%s", backend.id(), id, text, commit == null ? "" : " at " + commit);
  }

  private void write(EntryHost host) {
    int number = 0;
    while (!stopped) {
      try (Client client = Client.open(host.frontPort(), "bookings", "key1")) {
        while (!stopped) {
          String id = Client.newId();
          trace.log("client at %s sends %s", host.name(), id);
          Client.Answer answer = client.query(id, "WRITE item" + number++ % 50 + " " + id);
          trace.log("client at %s gets %s for %s", host.name(), answer.code(), id);
          if (answer.succeeded()) {
            acknowledged.put(id, trace.now());
          }
          Thread.sleep(answer.succeeded() ? 40 : 100);
        }
      } catch (InterruptedException e) {
        return;
      } catch (java.io.IOException e) {
        trace.log("client at %s: %s", host.name(), e);
        Group.sleep(200);
      }
    }
  }
}

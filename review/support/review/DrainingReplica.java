package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A service with syncReplicas 1 whose primary crashes while the replica that has received the
 * commits is draining and the other replica has received nothing for a while.
 */
final class DrainingReplica extends Case {
  private static final long DEAF_MILLIS = 6000;
  private static final long CRASH_AFTER_MILLIS = 1000;

  private final Map<String, Group.Entry> commits = new ConcurrentHashMap<>();
  private final Map<String, Double> acknowledged = new ConcurrentHashMap<>();
  private volatile boolean stopped;

  public static void main(String[] arguments) throws Exception {
    Case.main(new DrainingReplica(), arguments);
  }

  @Override
  boolean run() throws Exception {
    Group group = use(new Group("svc1", 54, 1, trace));
    List<Backend> backends = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Backend backend = new Backend(group, platform, "i-" + (i + 1), "zone-" + (i + 1), 3, 6);
      backend.setObserver(
          (ran, id, text, commit) -> {
            if (commit != null) {
              commits.put(id, commit);
            }
            trace.log("%s runs %s %s", ran.id(), id, text);
          });
      backends.add(backend);
      backend.start(i == 0);
    }
    group.start();
    List<String> promoted = new ArrayList<>();
    List<Group.Entry> promotedLog = new ArrayList<>();
    platform.setPromotions(
        promotion -> {
          int status = group.promote(promotion.id());
          synchronized (promoted) {
            if (status == 200 && promoted.isEmpty()) {
              promoted.add(promotion.id());
              promotedLog.addAll(group.backend(promotion.id()).orElseThrow().logCopy());
            }
          }
          return status;
        });
    new Manifest()
        .service("svc1", 54, 1)
        .route("bookings", "svc1", "primary", 800, 150, 0)
        .tenant("tenant1", "key1", 100, 100)
        .publish(platform, trace);
    List<EntryHost> hosts = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      hosts.add(host("front-" + (i + 1), "zone-" + (i + 1)));
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
    // The replica drains in both runs; planned work alone must do no harm.
    backends.get(1).setDraining();
    // With TROUBLE=crash the primary crashes while both replicas receive the commits.
    boolean deaf = trouble && !"crash".equals(System.getenv("TROUBLE"));
    if (deaf) {
      backends.get(2).setDeaf(true);
    }
    Thread.sleep(CRASH_AFTER_MILLIS);
    if (trouble) {
      backends.get(0).crash();
    }
    Thread.sleep(DEAF_MILLIS - CRASH_AFTER_MILLIS);
    if (deaf) {
      backends.get(2).setDeaf(false);
    }
    Thread.sleep(12_000);
    stopped = true;
    for (Thread client : clients) {
      client.join();
    }
    if (trouble && promoted.isEmpty()) {
      throw new CannotRun("no backend was promoted");
    }
    if (promoted.isEmpty()) {
      promoted.add("none");
      promotedLog.addAll(backends.get(0).logCopy());
    }
    int lost = 0;
    for (String id : acknowledged.keySet()) {
      Group.Entry commit = commits.get(id);
      if (commit != null && commit.term() == 1 && !promotedLog.contains(commit)) {
        lost++;
        trace.log(
            "RULE LOST: write %s committed as 1.%d and acknowledged at %.1f isn't in the log of %s",
            id, commit.number(), acknowledged.get(id), promoted.get(0));
      }
    }
    trace.say(
        "promoted: %s; acknowledged writes %d, of these missing from the log of the primary: %d",
        promoted.get(0), acknowledged.size(), lost);
    return lost == 0;
  }

  private void write(EntryHost host) {
    int number = 0;
    while (!stopped) {
      try (Client client = Client.open(host.frontPort(), "bookings", "key1")) {
        while (!stopped) {
          String id = Client.newId();
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

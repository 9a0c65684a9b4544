package review;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A read_own_writes route moves to another service and back within the route's staleness, while
 * replicas of the first service fall behind.
 */
final class RouteReturns extends Case {
  private final Map<String, Group.Entry> commits = new ConcurrentHashMap<>();
  private final Map<String, Backend> ranAt = new ConcurrentHashMap<>();

  public static void main(String[] arguments) throws Exception {
    Case.main(new RouteReturns(), arguments);
  }

  private Group group(String name) throws Exception {
    Group group = use(new Group(name, 54, 0, trace));
    for (int i = 0; i < 3; i++) {
      Backend backend =
          new Backend(group, platform, name + "-" + (i + 1), "zone-" + (i + 1), 3, 3);
      backend.setObserver(
          (ran, id, text, commit) -> {
            ranAt.put(id, ran);
            if (commit != null) {
              commits.put(id, commit);
            }
            trace.log("%s runs %s %s", ran.id(), id, text);
          });
      backend.start(i == 0);
    }
    group.start();
    return group;
  }

  @Override
  boolean run() throws Exception {
    Group first = group("svc1");
    Group second = group("svc2");
    Manifest manifest =
        new Manifest()
            .service("svc1", 54, 0)
            .service("svc2", 54, 0)
            .route("gauges", "svc1", "read_own_writes", 800, 250, 2500)
            .tenant("tenant1", "key1", 500, 500);
    manifest.publish(platform, trace);
    EntryHost host = host("front-1", "zone-2");
    host.awaitReady(20_000);
    for (int i = 0; i < 6; i++) {
      Thread thread = new Thread(() -> readOn(host), "reader " + i);
      thread.setDaemon(true);
      thread.start();
    }
    Thread.sleep(3000);
    int stale = 0;
    int checked = 0;
    for (int round = 0; round < 6; round++) {
      try (Client client = Client.open(host.frontPort(), "gauges", "key1")) {
        String item = "level" + round;
        String written = null;
        Group.Entry writtenAs = null;
        double acknowledgedAt = 0;
        for (int i = 0; i < 10; i++) {
          String id = Client.newId();
          if (client.query(id, "WRITE " + item + " " + id).succeeded()) {
            written = id;
            writtenAs = commits.get(id);
            acknowledgedAt = trace.now();
          }
          Thread.sleep(20);
        }
        if (written == null) {
          throw new CannotRun("no write was acknowledged");
        }
        if (trouble) {
          first.backends().get(1).setDeaf(true);
          String id = Client.newId();
          client.query(id, "WRITE " + item + " " + id);
          written = id;
          writtenAs = commits.get(id);
          acknowledgedAt = trace.now();
          manifest.route("gauges", "svc2", "read_own_writes", 800, 250, 2500);
          manifest.publish(platform, trace);
          while (trace.now() - acknowledgedAt < 2500) {
            String next = Client.newId();
            Client.Answer answer = client.query(next, "WRITE " + item + " " + next);
            Backend at = ranAt.get(next);
            if (answer.succeeded() && at != null && at.id().startsWith("svc2")) {
              break;
            }
            if (answer.succeeded()) {
              written = next;
              writtenAs = commits.get(next);
              acknowledgedAt = trace.now();
            }
            Thread.sleep(20);
          }
          manifest.route("gauges", "svc1", "read_own_writes", 800, 250, 2500);
          manifest.publish(platform, trace);
        }
        trace.log("last write at svc1 %s acknowledged at %.1f", written, acknowledgedAt);
        while (trace.now() - acknowledgedAt < 4000) {
          String id = Client.newId();
          double sentAt = trace.now();
          Client.Answer answer = client.query(id, "READ " + item);
          Backend at = ranAt.get(id);
          if (answer.succeeded() && at != null && at.id().startsWith("svc1")) {
            checked++;
            if (!answer.rows().equals(List.of(written))) {
              stale++;
              trace.log(
                  "RULE STALE: read %s, sent %.0f ms after the session's commit %s was acknowledged,"
                      + " ran on %s and returned %s",
                  id, sentAt - acknowledgedAt, writtenAs, at.id(), answer.rows());
            }
          }
          Thread.sleep(20);
        }
        first.backends().get(1).setDeaf(false);
        Thread.sleep(300);
      }
    }
    trace.say("reads at the first service after the last write %d, stale %d", checked, stale);
    if (checked == 0) {
      throw new CannotRun("no read reached the first service");
    }
    return stale == 0;
  }

  /** Other sessions read through the same route all the time. */
  private void readOn(EntryHost host) {
    while (true) {
      try (Client client = Client.open(host.frontPort(), "gauges", "key1")) {
        while (true) {
          client.query(Client.newId(), "READ warm");
          Thread.sleep(30);
        }
      } catch (InterruptedException e) {
        return;
      } catch (java.io.IOException e) {
        trace.log("reader: %s", e);
        Group.sleep(200);
      }
    }
  }
}

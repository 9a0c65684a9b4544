package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The manifest grows by many routes, and the entry hosts have small links to the store. */
final class GrownManifest extends Case {
  private static final int ROUTES = 1400;
  private static final double LINK_MEGABITS = 2.0;
  private static final long CONFIG_APPLY_MILLIS = 3000;
  private static final int SECONDS = 20;
  private static final int CLIENTS = 12;

  private int succeeded;
  private int failed;
  private volatile boolean stopped;

  public static void main(String[] arguments) throws Exception {
    Case.main(new GrownManifest(), arguments);
  }

  @Override
  boolean run() throws Exception {
    Group group = use(new Group("svc1", 54, 0, trace));
    for (int i = 0; i < 3; i++) {
      Backend backend = new Backend(group, platform, "i-" + (i + 1), "zone-" + (i + 1), 3, 6);
      backend.start(i == 0);
    }
    group.start();
    Manifest manifest =
        new Manifest()
            .service("svc1", 54, 0)
            .route("bookings", "svc1", "read_own_writes", 800, 250, 2500);
    for (int i = 0; i < 4; i++) {
      manifest.tenant("tenant" + i, "key" + i, 100, 100);
    }
    manifest.publish(platform, trace);
    List<EntryHost> hosts = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      SlowLink link = use(new SlowLink(platform.ownStoreAddress(), LINK_MEGABITS));
      platform.setStoreAddress(link.address());
      hosts.add(host("front-" + (i + 1), "zone-" + (i % 3 + 1)));
    }
    for (EntryHost host : hosts) {
      host.awaitReady(20_000);
    }
    for (int i = 0; i < CLIENTS; i++) {
      EntryHost host = hosts.get(i % hosts.size());
      String key = "key" + i % 4;
      Thread thread = new Thread(() -> write(host, key), "client " + i);
      thread.setDaemon(true);
      thread.start();
    }
    Thread.sleep(4000);
    int before = succeeded;
    if (before == 0) {
      throw new CannotRun("no write succeeded before the disruption");
    }
    if (trouble) {
      for (int i = 0; i < ROUTES; i++) {
        manifest.briefRoute("idle" + i, "svc1", 2500);
      }
    } else {
      manifest.briefRoute("idle0", "svc1", 2500);
    }
    int size = manifest.publish(platform, trace);
    double confirmedAt = trace.now();
    int broken = 0;
    int known = 0;
    for (int second = 1; second <= SECONDS; second++) {
      int old = succeeded;
      int oldFailed = failed;
      Thread.sleep(1000);
      trace.log("second %d: writes answered %d, not %d", second, succeeded - old, failed - oldFailed);
      for (EntryHost host : hosts) {
        double sentAt = trace.now();
        if (sentAt - confirmedAt < CONFIG_APPLY_MILLIS) {
          continue;
        }
        try {
          Client.open(host.frontPort(), "idle0", "key1").close();
          known++;
          trace.log("%s has the route idle0", host.name());
        } catch (IOException e) {
          trace.log("%s: %s", host.name(), e.getMessage());
          if (String.valueOf(e.getMessage()).contains("NODB")) {
            broken++;
            trace.log(
                "RULE CONFIG: %s refuses a route %.0f ms after its manifest was confirmed",
                host.name(), sentAt - confirmedAt);
          }
        }
      }
    }
    int old = succeeded;
    Thread.sleep(2000);
    stopped = true;
    trace.say(
        "manifest of %d bytes; sessions on an added route later than 3 s: opened %d, refused as"
            + " unknown %d; writes on the old route answered before: %d, in the last 2 s: %d",
        size, known, broken, before, succeeded - old);
    return broken == 0;
  }

  private void write(EntryHost host, String key) {
    while (!stopped) {
      try (Client client = Client.open(host.frontPort(), "bookings", key)) {
        while (!stopped) {
          boolean done = client.query(Client.newId(), "WRITE item data").succeeded();
          synchronized (this) {
            succeeded += done ? 1 : 0;
            failed += done ? 0 : 1;
          }
          Thread.sleep(done ? 40 : 200);
        }
      } catch (InterruptedException e) {
        return;
      } catch (IOException e) {
        synchronized (this) {
          failed++;
        }
        Group.sleep(200);
      }
    }
  }
}

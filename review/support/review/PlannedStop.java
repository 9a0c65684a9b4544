package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An entry host is stopped with SIGTERM while clients with open sessions go on sending one request
 * after the other, as they may until the connection is closed.
 */
final class PlannedStop extends Case {
  private static final long GRACE_MILLIS = 6000;
  private static final long EXCUSED_UNTIL_MILLIS = 3000;
  private static final int SESSIONS = 16;

  /** A request that got no complete answer before its connection ended. */
  private record Cut(String id, String text, double sentAt, double cutAt) {}

  private final Map<String, Double> runAt = new ConcurrentHashMap<>();
  private final List<Cut> cuts = new ArrayList<>();
  private volatile boolean stopped;
  private int answered;

  public static void main(String[] arguments) throws Exception {
    Case.main(new PlannedStop(), arguments);
  }

  @Override
  boolean run() throws Exception {
    Group group = use(new Group("svc1", 54, 0, trace));
    for (int i = 0; i < 3; i++) {
      Backend backend = new Backend(group, platform, "i-" + (i + 1), "zone-" + (i + 1), 3, 18);
      backend.setObserver(
          (ran, id, text, commit) -> {
            runAt.put(id, trace.now());
            trace.log("%s runs %s %s", ran.id(), id, text);
          });
      backend.start(i == 0);
    }
    group.start();
    new Manifest()
        .service("svc1", 54, 0)
        .route("bookings", "svc1", "primary", 800, 150, 0)
        .route("levels", "svc1", "bounded_staleness", 2000, 500, 1500)
        .tenant("tenant1", "key1", 2000, 2000)
        .publish(platform, trace);
    EntryHost stoppedHost = host("front-1", "zone-1");
    EntryHost otherHost = host("front-2", "zone-2");
    stoppedHost.awaitReady(20_000);
    otherHost.awaitReady(20_000);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < SESSIONS; i++) {
      int number = i;
      Thread thread = new Thread(() -> send(stoppedHost, number), "client " + i);
      thread.start();
      clients.add(thread);
    }
    Thread.sleep(6000);
    double termAt = trace.now();
    if (trouble) {
      trace.log("SIGTERM to %s", stoppedHost.name());
      stoppedHost.terminate();
    }
    Thread.sleep(GRACE_MILLIS + 1000);
    stopped = true;
    for (Thread client : clients) {
      client.join();
    }
    int broken = 0;
    synchronized (cuts) {
      for (Cut cut : cuts) {
        double sent = cut.sentAt() - termAt;
        boolean passedOn = runAt.containsKey(cut.id());
        boolean counts =
            sent > EXCUSED_UNTIL_MILLIS && cut.cutAt() - termAt < GRACE_MILLIS + 1000 && passedOn;
        trace.log(
            "%s %s (%s): sent %.0f ms after SIGTERM, cut after %.0f ms, %s",
            counts ? "RULE LOST:" : "not counted:",
            cut.id(),
            cut.text(),
            sent,
            cut.cutAt() - cut.sentAt(),
            passedOn ? "run by a backend" : "not seen at a backend");
        broken += counts ? 1 : 0;
      }
      trace.say(
          "answered %d, connections that ended with a request unanswered %d; of these sent later"
              + " than 3 s after SIGTERM and run by a backend: %d",
          answered, cuts.size(), broken);
      if (answered < 500) {
        throw new CannotRun("too few requests were answered");
      }
    }
    return broken == 0;
  }

  private void send(EntryHost host, int number) {
    boolean writes = number % 2 == 0;
    int count = 0;
    while (!stopped) {
      try (Client client = Client.open(host.frontPort(), writes ? "bookings" : "levels", "key1")) {
        while (!stopped) {
          String id = Client.newId();
          String item = "item" + number + "-" + count++ % 20;
          String text = writes ? "WRITE " + item + " " + id : "READ " + item;
          double sentAt = trace.now();
          try {
            Client.Answer answer = client.query(id, text);
            trace.log("client %d gets %s for %s", number, answer.code(), id);
            synchronized (cuts) {
              answered++;
            }
            if (!answer.succeeded()) {
              Thread.sleep(100);
            }
          } catch (java.io.IOException e) {
            synchronized (cuts) {
              cuts.add(new Cut(id, text, sentAt, trace.now()));
            }
            throw e;
          }
        }
      } catch (InterruptedException e) {
        return;
      } catch (java.io.IOException e) {
        trace.log("client %d: %s", number, e);
        Group.sleep(200);
      }
    }
  }
}

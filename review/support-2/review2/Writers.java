package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/** Clients that write through hosts, each in a session of its own, and keep what was acknowledged. */
final class Writers {
  private static final int CLIENTS_PER_HOST = 3;

  private final Record record;
  private final ConcurrentLinkedQueue<String> acknowledged = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final List<Thread> threads = new ArrayList<>();

  /** Starts the clients. */
  Writers(Record record, List<Host> hosts) {
    this.record = record;
    for (Host host : hosts) {
      for (int i = 0; i < CLIENTS_PER_HOST; i++) {
        int number = i;
        Thread thread = new Thread(() -> write(host, number), "client");
        thread.setDaemon(true);
        thread.start();
        threads.add(thread);
      }
    }
  }

  private void write(Host host, int number) {
    String name = host.name + "-client-" + number;
    while (!stopped.get()) {
      try (Client client = new Client(name, host.front, "book", Deployment.KEY, record)) {
        for (int i = 0; !stopped.get(); i++) {
          Client.Answer answer = client.query("WRITE " + number + " data" + i);
          if (answer.success()) {
            acknowledged.add(answer.id());
          }
          Store.sleep(130 + 20 * number);
        }
      } catch (IOException e) {
        record.write("%s: the connection ended: %s", name, e.getMessage());
        Store.sleep(200);
      }
    }
  }

  void stop() throws InterruptedException {
    stopped.set(true);
    for (Thread thread : threads) {
      thread.join(5000);
    }
  }

  /**
   * Returns how many acknowledged writes were committed by a backend that was not the leader any
   * more, and records them.
   */
  int countAcknowledgedByDeposed(Group group) {
    int broken = 0;
    for (String request : acknowledged) {
      if (group.commitsOfDeposed.containsKey(request)) {
        record.write(
            "ONE: %s was committed at %s after the promotion and acknowledged",
            request, group.commitsOfDeposed.get(request));
        broken++;
      }
    }
    System.out.println(
        acknowledged.size() + " writes acknowledged, " + broken + " of them by an old primary");
    return broken;
  }
}

package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in of one replicated database: a primary and its replicas with asynchronous replication
 * (syncReplicas 0), as PROTOCOL.md describes them.
 */
final class Group implements AutoCloseable {
  /** A commit in a log. */
  record Commit(long term, String item, String data, String request, long at) {}

  private static final long PULL_MILLIS = 5;

  final String service;
  final Record record;
  final long lagMillis;
  final long promoteMillis;
  final List<Backend> backends = new ArrayList<>();

  /** For each request id, the commits that a backend made for it, and whether it led then. */
  final Map<String, List<String>> commitsOfDeposed = new HashMap<>();

  private final AtomicLong proofs = new AtomicLong();
  private volatile boolean closed;
  private Backend leader;
  private long newestTerm = 1;

  Group(String service, Record record, long lagMillis, long promoteMillis) {
    this.service = service;
    this.record = record;
    this.lagMillis = lagMillis;
    this.promoteMillis = promoteMillis;
  }

  /** Starts the backends; the first one is the primary. */
  void start(List<String> zones) throws IOException {
    for (int i = 0; i < zones.size(); i++) {
      backends.add(new Backend(this, "i-" + (char) ('a' + i) + "0" + (i + 1), zones.get(i)));
    }
    leader = backends.get(0);
    leader.lead(1);
    backends.forEach(backend -> backend.follow(leader));
    Thread replication = new Thread(this::replicate, "replication");
    replication.setDaemon(true);
    replication.start();
  }

  synchronized Backend leader() {
    return leader;
  }

  Backend backend(String id) {
    return backends.stream().filter(backend -> backend.id.equals(id)).findFirst().orElseThrow();
  }

  /** Makes the backend lead the next term some time after the call. */
  int promote(String id) {
    Backend chosen = backend(id);
    if (chosen.down) {
      return 409;
    }
    if (chosen == leader()) {
      return 200;
    }
    Thread effect =
        new Thread(
            () -> {
              Store.sleep(promoteMillis);
              takeEffect(chosen);
            });
    effect.setDaemon(true);
    effect.start();
    return 200;
  }

  private void takeEffect(Backend chosen) {
    Backend old;
    synchronized (this) {
      old = leader;
      newestTerm++;
      chosen.lead(newestTerm);
      leader = chosen;
      backends.stream()
          .filter(backend -> backend != chosen && backend != old)
          .forEach(backend -> backend.follow(chosen));
      record.write(
          "the promotion of %s takes effect: term %d, log of %d commits; %s has %d",
          chosen.id, newestTerm, chosen.logSize(), old.id, old.logSize());
    }
    // The old primary reaches the new one, and continues for a second after that.
    Store.sleep(1000);
    synchronized (this) {
      if (leader != old) {
        old.follow(leader);
        record.write("%s steps down", old.id);
      }
    }
  }

  private void replicate() {
    while (!closed) {
      Store.sleep(PULL_MILLIS);
      synchronized (this) {
        backends.forEach(backend -> backend.pull(Record.now() - lagMillis));
      }
    }
  }

  String nextProof(Backend backend) {
    return Long.toHexString(proofs.incrementAndGet()) + "." + backend.id;
  }

  @Override
  public void close() {
    closed = true;
    backends.forEach(Backend::close);
  }
}

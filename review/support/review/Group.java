package review;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A replicated service: one primary and its replicas. Holds the state that the backends share:
 * terms, replication and what was acknowledged.
 */
final class Group implements AutoCloseable {
  /** A commit in a log. */
  record Entry(long term, long number, String id, String item, String data, double at) {}

  static final long PROMOTE_MILLIS = 600;
  static final long STEP_DOWN_MILLIS = 1000;
  private static final long REPLICATION_MILLIS = 2;

  private final String name;
  private final int maximumConnections;
  private final int synchronousReplicas;
  private final Trace trace;
  private final List<Backend> backends = new CopyOnWriteArrayList<>();
  private final Thread replication;
  private final Set<Backend> steppingDown = new HashSet<>();
  private long newestTerm = 1;
  private volatile boolean closed;
  private volatile long applyLagMillis = 20;

  Group(String name, int maximumConnections, int synchronousReplicas, Trace trace) {
    this.name = name;
    this.maximumConnections = maximumConnections;
    this.synchronousReplicas = synchronousReplicas;
    this.trace = trace;
    this.replication = new Thread(this::replicate, "replication " + name);
    replication.setDaemon(true);
  }

  String name() {
    return name;
  }

  int maximumConnections() {
    return maximumConnections;
  }

  int synchronousReplicas() {
    return synchronousReplicas;
  }

  Trace trace() {
    return trace;
  }

  List<Backend> backends() {
    return backends;
  }

  void add(Backend backend) {
    backends.add(backend);
  }

  Optional<Backend> backend(String id) {
    return backends.stream().filter(backend -> backend.id().equals(id)).findFirst();
  }

  void start() {
    replication.start();
  }

  long applyLagMillis() {
    return applyLagMillis;
  }

  /** Returns the backend that leads the newest term. */
  synchronized Optional<Backend> leader() {
    return backends.stream()
        .filter(backend -> backend.isPrimary() && backend.term() == newestTerm)
        .findFirst();
  }

  synchronized long newestTerm() {
    return newestTerm;
  }

  /**
   * Makes a backend the primary of the next term after the time that a promotion takes. Returns the
   * status with which the platform answers.
   */
  int promote(String id) {
    Optional<Backend> target = backend(id);
    synchronized (this) {
      if (target.isEmpty() || !target.get().isRunning()) {
        return 409;
      }
      if (target.get().isPrimary() && target.get().term() == newestTerm) {
        return 200;
      }
    }
    Thread thread =
        new Thread(
            () -> {
              sleep(PROMOTE_MILLIS);
              synchronized (this) {
                if (!target.get().isRunning()) {
                  return;
                }
                newestTerm++;
                target.get().lead(newestTerm);
              }
              trace.log(
                  "%s: %s leads term %d, log ends at %s",
                  name, id, newestTerm, target.get().receivedPosition());
            },
            "promote " + id);
    thread.setDaemon(true);
    thread.start();
    return 200;
  }

  private void replicate() {
    while (!closed) {
      synchronized (this) {
        Optional<Backend> leader = leader().filter(Backend::isRunning);
        for (Backend backend : backends) {
          if (!backend.isRunning()) {
            continue;
          }
          // A replica follows the newest primary that it can reach.
          if (!backend.isPrimary()) {
            source(backend).ifPresent(backend::receiveFrom);
          }
          leader
              .filter(other -> backend.isPrimary() && backend.term() < other.term())
              .filter(other -> other.reaches(backend))
              .ifPresent(other -> stepDownLater(backend, other));
        }
      }
      sleep(REPLICATION_MILLIS);
    }
  }

  private Optional<Backend> source(Backend replica) {
    return backends.stream()
        .filter(other -> other.isRunning() && other.isPrimary() && other.reaches(replica))
        .filter(other -> other.term() >= replica.knownTerm())
        .max((a, b) -> Long.compare(a.term(), b.term()));
  }

  private void stepDownLater(Backend old, Backend leader) {
    if (!steppingDown.add(old)) {
      return;
    }
    Thread thread =
        new Thread(
            () -> {
              sleep(STEP_DOWN_MILLIS);
              synchronized (this) {
                steppingDown.remove(old);
                if (old.isPrimary() && old.term() < newestTerm && leader.reaches(old)) {
                  old.follow();
                  trace.log("%s: %s steps down", name, old.id());
                }
              }
            },
            "step down");
    thread.setDaemon(true);
    thread.start();
  }

  /** Waits until as many replicas as the service requires have received the commit. */
  boolean awaitReplicas(Backend primary, Entry entry, long millis) {
    if (synchronousReplicas == 0) {
      return true;
    }
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      synchronized (this) {
        List<Backend> holders = new ArrayList<>();
        for (Backend backend : backends) {
          if (backend != primary && backend.isRunning() && backend.has(entry)) {
            holders.add(backend);
          }
        }
        if (holders.size() >= synchronousReplicas) {
          return true;
        }
      }
      sleep(1);
    }
    return false;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    closed = true;
    backends.forEach(Backend::close);
  }
}

package org.persimmonwalk.internal.traffic.caller;

import java.security.SecureRandom;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.persimmonwalk.internal.traffic.backend.BackendKey;

/** The callers that are logged in to this host, by their cancel keys. Thread-safe. */
public final class CallerRegistry {
  private final Map<Integer, Entry> callers = new ConcurrentHashMap<>();
  private final AtomicInteger nextProcessId = new AtomicInteger(1);
  private final SecureRandom random = new SecureRandom();
  private final int maximum;

  private CallerRegistry(int maximum) {
    this.maximum = maximum;
  }

  /** Returns an empty registry for at most the given number of callers. */
  public static CallerRegistry of(int maximum) {
    return new CallerRegistry(maximum);
  }

  private record Entry(int secret, CallerSession session) {}

  /** Adds a caller and returns its cancel key, or nothing if there are too many callers. */
  Optional<BackendKey> add(CallerSession session) {
    if (callers.size() >= maximum) {
      return Optional.empty();
    }
    BackendKey key = BackendKey.of(nextProcessId.getAndIncrement(), random.nextInt());
    callers.put(key.processId(), new Entry(key.secret(), session));
    return Optional.of(key);
  }

  void remove(BackendKey key) {
    callers.remove(key.processId());
  }

  /** Cancels the statement of the caller with the given key; a wrong key does nothing. */
  void cancel(BackendKey key) {
    Entry entry = callers.get(key.processId());
    if (entry != null && entry.secret() == key.secret()) {
      entry.session().cancel();
    }
  }

  /** Returns the number of callers. */
  public int size() {
    return callers.size();
  }

  /** Closes each caller's connection as soon as no statement or transaction of it is open. */
  public void drain() {
    callers.values().forEach(entry -> entry.session().drain());
  }
}

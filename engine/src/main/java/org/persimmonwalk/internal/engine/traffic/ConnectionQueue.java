package org.persimmonwalk.internal.engine.traffic;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** The requests of a host for connections to a server, by priority and then by deadline. */
final class ConnectionQueue {
  private static final Comparator<ConnectionRequest> ORDER =
      Comparator.comparingInt(ConnectionRequest::priority)
          .thenComparing(ConnectionRequest::deadline)
          .thenComparingLong(ConnectionRequest::sequence);

  private final PriorityQueue<ConnectionRequest> requests = new PriorityQueue<>(ORDER);

  void add(ConnectionRequest request) {
    requests.add(request);
  }

  void addAll(Collection<ConnectionRequest> added) {
    requests.addAll(added);
  }

  void remove(ConnectionRequest request) {
    requests.remove(request);
  }

  /** Removes the first request and returns it; null if there is none. */
  ConnectionRequest poll() {
    return requests.poll();
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  int size() {
    return requests.size();
  }

  /** Returns how many requests are not less urgent than the given one, so that they come first. */
  int ahead(ConnectionRequest request) {
    int ahead = 0;
    for (ConnectionRequest other : requests) {
      ahead += other.priority() <= request.priority() ? 1 : 0;
    }
    return ahead;
  }

  /** Removes all requests and returns them. */
  List<ConnectionRequest> takeAll() {
    List<ConnectionRequest> taken = new ArrayList<>(requests);
    requests.clear();
    return taken;
  }
}

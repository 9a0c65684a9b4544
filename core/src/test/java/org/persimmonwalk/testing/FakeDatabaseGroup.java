package org.persimmonwalk.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.persimmonwalk.blackboard.Observation;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.LogPosition;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerRole;
import org.persimmonwalk.model.ServerSample;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.model.Term;
import org.persimmonwalk.observation.ServerFenced;
import org.persimmonwalk.observation.ServerFollowing;
import org.persimmonwalk.observation.ServerPromoted;
import org.persimmonwalk.observation.TermRefused;
import org.persimmonwalk.port.MonotonicClock;

/**
 * A database group of servers {@code a}, {@code b}, ... with asynchronous replication. Server
 * {@code a} is the primary of term 1 at the start. The servers have the same names in {@link
 * FakeLinks}. Replicas receive log records only when {@link #replicate()} is called.
 */
public final class FakeDatabaseGroup {
  private static final long RECORD_BYTES = 100;

  private record LogRecord(Term term, long write) {}

  private static final class Server {
    final BackendServer backendServer;
    final List<LogRecord> log = new ArrayList<>();
    ServerRole role = ServerRole.REPLICA;
    Term term = Term.of(1);
    Optional<EntryHostId> promisedTo = Optional.empty();
    String followedPrimary = "a";
    boolean up = true;
    int replayed;
    Duration primaryContactAge = Duration.ZERO;

    Server(BackendServer backendServer) {
      this.backendServer = backendServer;
    }
  }

  private final Map<String, Server> servers = new LinkedHashMap<>();
  private final DatabaseGroup group;
  private final FakeLinks links;
  private final MonotonicClock clock;
  private MonotonicTime replicatedAt;
  private int replayLag;
  private int promotions;
  private boolean primaryRefusesFences;

  private FakeDatabaseGroup(int size, FakeLinks links, MonotonicClock clock) {
    for (int index = 0; index < size; index++) {
      String name = String.valueOf((char) ('a' + index));
      BackendServer server =
          BackendServer.of(
              BackendServerId.of(name),
              AvailabilityZone.of("zone-" + name),
              SocketEndpoint.of("127.0.0.1", 5432 + index),
              3,
              50);
      servers.put(name, new Server(server));
    }
    servers.get("a").role = ServerRole.PRIMARY;
    this.group =
        DatabaseGroup.of(
            DatabaseGroupId.of("tanks"),
            servers.values().stream().map(server -> server.backendServer).toList(),
            Duration.ofSeconds(30));
    this.links = links;
    this.clock = clock;
    this.replicatedAt = clock.now();
  }

  /** Returns a group of the given size. */
  public static FakeDatabaseGroup of(int size, FakeLinks links, MonotonicClock clock) {
    return new FakeDatabaseGroup(size, links, clock);
  }

  /** Returns the group as operators configure it. */
  public DatabaseGroup configuration() {
    return group;
  }

  /** Stops a server; it keeps its log. */
  public void stop(String server) {
    servers.get(server).up = false;
  }

  /** Starts a stopped server in the role that it had. */
  public void start(String server) {
    servers.get(server).up = true;
  }

  /** Sets whether a primary refuses every fence command, as a database group may do. */
  public void setPrimaryRefusesFences(boolean refuses) {
    primaryRefusesFences = refuses;
  }

  /** Makes replicas replay all but the last given number of the records received. */
  public void setReplayLag(int records) {
    replayLag = records;
  }

  /** Returns whether the server is running and its link to the machine is open. */
  public boolean isReachable(String machine, String server) {
    return servers.get(server).up && links.isOpen(machine, server);
  }

  /** Returns the writes in the server's log. */
  public Set<Long> writes(String server) {
    return servers.get(server).log.stream().map(LogRecord::write).collect(Collectors.toSet());
  }

  /** Returns the running primary of the highest term. */
  public Optional<String> primary() {
    return servers.entrySet().stream()
        .filter(entry -> entry.getValue().up && entry.getValue().role == ServerRole.PRIMARY)
        .max((first, second) -> first.getValue().term.compareTo(second.getValue().term))
        .map(Map.Entry::getKey);
  }

  /** Returns how many promotions took place since the start. */
  public int promotions() {
    return promotions;
  }

  /**
   * Returns the highest term among the primaries and replicas. A term that fenced servers only
   * promised does not count.
   */
  public Term term() {
    return servers.values().stream()
        .filter(server -> server.role != ServerRole.FENCED)
        .map(server -> server.term)
        .max(Term::compareTo)
        .orElse(Term.NONE);
  }

  /**
   * Commits a write on the server and returns its log position; empty if the server is stopped or
   * is not a primary.
   */
  public Optional<GroupPosition> write(String name, long write) {
    Server server = servers.get(name);
    if (!server.up || server.role != ServerRole.PRIMARY) {
      return Optional.empty();
    }
    server.log.add(new LogRecord(server.term, write));
    return Optional.of(GroupPosition.of(server.term, position(server.log.size())));
  }

  /** Returns what the server answers to a probe. */
  public ServerSample sample(String name) {
    Server server = servers.get(name);
    if (server.role == ServerRole.PRIMARY) {
      return ServerSample.ofPrimary(server.term, position(server.log.size()));
    }
    return new ServerSample(
        server.role,
        server.term,
        position(server.log.size()),
        position(server.replayed),
        server.primaryContactAge);
  }

  /**
   * Fences the server if the term is higher than the server's, or repeats the answer for the same
   * term and host while the server is still fenced.
   */
  public Observation fence(String name, Term term, EntryHostId host) {
    Server server = servers.get(name);
    boolean repeated =
        server.role == ServerRole.FENCED
            && term.equals(server.term)
            && server.promisedTo.equals(Optional.of(host));
    boolean refusing = primaryRefusesFences && server.role == ServerRole.PRIMARY;
    if (refusing || !term.isAfter(server.term) && !repeated) {
      return new TermRefused(server.backendServer.id(), term, server.term);
    }
    server.role = ServerRole.FENCED;
    server.term = term;
    server.promisedTo = Optional.of(host);
    server.followedPrimary = "";
    return new ServerFenced(server.backendServer.id(), term, logEnd(server));
  }

  /** Promotes the server if it has promised the term to the host; idempotent. */
  public Observation promote(String name, Term term, EntryHostId host) {
    Server server = servers.get(name);
    boolean promised =
        server.role != ServerRole.REPLICA
            && term.equals(server.term)
            && server.promisedTo.equals(Optional.of(host));
    if (!promised) {
      return new TermRefused(server.backendServer.id(), term, server.term);
    }
    if (server.role != ServerRole.PRIMARY) {
      promotions++;
    }
    server.role = ServerRole.PRIMARY;
    server.replayed = server.log.size();
    return new ServerPromoted(server.backendServer.id(), term);
  }

  /**
   * Makes the server follow the primary if the term is not lower than the server's and the server
   * is not itself the primary of the term. It becomes a replica when it first receives from the
   * primary.
   */
  public Observation follow(String name, Term term, String primary) {
    Server server = servers.get(name);
    boolean primaryOfTerm = server.role == ServerRole.PRIMARY && term.equals(server.term);
    if (server.term.isAfter(term) || primaryOfTerm) {
      return new TermRefused(server.backendServer.id(), term, server.term);
    }
    boolean following = server.role == ServerRole.REPLICA && term.equals(server.term);
    if (!following) {
      server.role = ServerRole.FENCED;
      server.promisedTo = Optional.empty();
      server.followedPrimary = primary;
    }
    server.term = term;
    return new ServerFollowing(server.backendServer.id(), term);
  }

  /**
   * Copies the primary's log to each server that follows it over an open link, discards records
   * that the primary does not have, and replays the log up to the replay lag.
   */
  public void replicate() {
    Duration elapsed = clock.now().since(replicatedAt);
    replicatedAt = clock.now();
    servers.forEach((name, server) -> receive(name, server, elapsed));
  }

  private void receive(String name, Server server, Duration elapsed) {
    Server source = servers.get(server.followedPrimary);
    boolean connected =
        server.up
            && server.role != ServerRole.PRIMARY
            && source != null
            && source.up
            && source.role == ServerRole.PRIMARY
            && source.term.equals(server.term)
            && links.isOpen(name, server.followedPrimary);
    if (!connected) {
      server.primaryContactAge = server.primaryContactAge.plus(elapsed);
      return;
    }
    int commonPrefix = Math.min(server.log.size(), source.log.size());
    while (commonPrefix > 0
        && !server.log.get(commonPrefix - 1).equals(source.log.get(commonPrefix - 1))) {
      commonPrefix--;
    }
    server.log.subList(commonPrefix, server.log.size()).clear();
    server.log.addAll(source.log.subList(commonPrefix, source.log.size()));
    server.role = ServerRole.REPLICA;
    server.primaryContactAge = Duration.ZERO;
    int stillReplayed = Math.min(server.replayed, commonPrefix);
    server.replayed = Math.max(stillReplayed, server.log.size() - replayLag);
  }

  private static GroupPosition logEnd(Server server) {
    Term term = server.log.isEmpty() ? Term.NONE : server.log.get(server.log.size() - 1).term();
    return GroupPosition.of(term, position(server.log.size()));
  }

  private static LogPosition position(int records) {
    return LogPosition.of(records * RECORD_BYTES);
  }
}

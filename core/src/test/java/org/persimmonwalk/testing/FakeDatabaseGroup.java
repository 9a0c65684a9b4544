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
 * Servers {@code a}, {@code b}, ... that replicate asynchronously; {@code a} begins as primary of
 * term 1. Machines in {@link FakeLinks} have the servers' names. {@link #replicate()} moves the
 * logs.
 */
public final class FakeDatabaseGroup {
  private static final long RECORD_BYTES = 100;

  private record LogRecord(Term term, long write) {}

  private static final class Server {
    final BackendServer configured;
    final List<LogRecord> log = new ArrayList<>();
    ServerRole role = ServerRole.REPLICA;
    Term term = Term.of(1);
    Optional<EntryHostId> promisedTo = Optional.empty();
    String follows = "a";
    boolean up = true;
    int replayed;
    Duration contactAge = Duration.ZERO;

    Server(BackendServer configured) {
      this.configured = configured;
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
            servers.values().stream().map(server -> server.configured).toList(),
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

  /** Makes a primary refuse every fence, as a group may do, or ends that. */
  public void setPrimaryRefusesFences(boolean refuses) {
    primaryRefusesFences = refuses;
  }

  /** Makes reads on replicas see the given number of records less than they have received. */
  public void setReplayLag(int records) {
    replayLag = records;
  }

  /** Returns whether the server answers the machine. */
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

  /** Returns how often a server became primary since the start. */
  public int promotions() {
    return promotions;
  }

  /** Returns the highest term that a server has been promoted in. */
  public Term term() {
    return servers.values().stream()
        .filter(server -> server.role != ServerRole.FENCED)
        .map(server -> server.term)
        .max(Term::compareTo)
        .orElse(Term.NONE);
  }

  /** Commits a write on the server if it is a primary, and returns the position. */
  public Optional<GroupPosition> write(String name, long write) {
    Server server = servers.get(name);
    if (!server.up || server.role != ServerRole.PRIMARY) {
      return Optional.empty();
    }
    server.log.add(new LogRecord(server.term, write));
    return Optional.of(GroupPosition.of(server.term, position(server.log.size())));
  }

  /** Answers a probe. */
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
        server.contactAge);
  }

  /** Accepts a higher term, or the same term from the same host while still fenced. */
  public Observation fence(String name, Term term, EntryHostId host) {
    Server server = servers.get(name);
    boolean again =
        server.role == ServerRole.FENCED
            && term.equals(server.term)
            && server.promisedTo.equals(Optional.of(host));
    boolean refusing = primaryRefusesFences && server.role == ServerRole.PRIMARY;
    if (refusing || !term.isAfter(server.term) && !again) {
      return new TermRefused(server.configured.id(), term, server.term);
    }
    server.role = ServerRole.FENCED;
    server.term = term;
    server.promisedTo = Optional.of(host);
    server.follows = "";
    return new ServerFenced(server.configured.id(), term, end(server));
  }

  /** Accepts the term that the server has promised to the host, and repeats of it. */
  public Observation promote(String name, Term term, EntryHostId host) {
    Server server = servers.get(name);
    boolean promised =
        server.role != ServerRole.REPLICA
            && term.equals(server.term)
            && server.promisedTo.equals(Optional.of(host));
    if (!promised) {
      return new TermRefused(server.configured.id(), term, server.term);
    }
    if (server.role != ServerRole.PRIMARY) {
      promotions++;
    }
    server.role = ServerRole.PRIMARY;
    server.replayed = server.log.size();
    return new ServerPromoted(server.configured.id(), term);
  }

  /** Accepts a higher term, or the promised one; the server is a replica from the first contact. */
  public Observation follow(String name, Term term, String primary) {
    Server server = servers.get(name);
    boolean primaryOfTerm = server.role == ServerRole.PRIMARY && term.equals(server.term);
    if (server.term.isAfter(term) || primaryOfTerm) {
      return new TermRefused(server.configured.id(), term, server.term);
    }
    boolean following = server.role == ServerRole.REPLICA && term.equals(server.term);
    if (!following) {
      server.role = ServerRole.FENCED;
      server.promisedTo = Optional.empty();
      server.follows = primary;
    }
    server.term = term;
    return new ServerFollowing(server.configured.id(), term);
  }

  /** Lets replicas receive and replay what their primary has, where links are open. */
  public void replicate() {
    Duration elapsed = clock.now().since(replicatedAt);
    replicatedAt = clock.now();
    servers.forEach((name, server) -> receive(name, server, elapsed));
  }

  private void receive(String name, Server server, Duration elapsed) {
    Server source = servers.get(server.follows);
    boolean connected =
        server.up
            && server.role != ServerRole.PRIMARY
            && source != null
            && source.up
            && source.role == ServerRole.PRIMARY
            && source.term.equals(server.term)
            && links.isOpen(name, server.follows);
    if (!connected) {
      server.contactAge = server.contactAge.plus(elapsed);
      return;
    }
    int common = Math.min(server.log.size(), source.log.size());
    while (common > 0 && !server.log.get(common - 1).equals(source.log.get(common - 1))) {
      common--;
    }
    server.log.subList(common, server.log.size()).clear();
    server.log.addAll(source.log.subList(common, source.log.size()));
    server.role = ServerRole.REPLICA;
    server.contactAge = Duration.ZERO;
    int kept = Math.min(server.replayed, common);
    server.replayed = Math.max(kept, server.log.size() - replayLag);
  }

  private static GroupPosition end(Server server) {
    Term term = server.log.isEmpty() ? Term.NONE : server.log.get(server.log.size() - 1).term();
    return GroupPosition.of(term, position(server.log.size()));
  }

  private static LogPosition position(int records) {
    return LogPosition.of(records * RECORD_BYTES);
  }
}

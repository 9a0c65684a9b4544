package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of a backend: a database server that speaks the wire protocol and registers itself. */
final class Backend implements AutoCloseable {
  static final long HEARTBEAT_MILLIS = 1200;
  private static final long HANDSHAKE_MILLIS = 12;
  private static final long DARK_CONNECTION_MILLIS = 3000;
  private static final int QUEUE = 24;
  private static final AtomicLong PROOFS = new AtomicLong();

  /** Told about each statement that the backend runs for a client. */
  interface Observer {
    void ran(Backend backend, String id, String text, Group.Entry commit);
  }

  private final Group group;
  private final Platform platform;
  private final String id;
  private final String zone;
  private final int slots;
  private final ServerSocket listener;
  private final Semaphore slotsFree;
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  private final List<Group.Entry> log = new ArrayList<>();
  private final long born = System.currentTimeMillis();
  private volatile boolean running = true;
  private volatile boolean primary;
  private volatile boolean draining;
  private volatile boolean cutFromHosts;
  private volatile boolean cutFromBackends;
  private volatile boolean cutFromStore;
  private volatile boolean deaf;
  private volatile long cutFromHostsAt;
  private volatile long term = 1;
  private volatile long workMillis;
  private volatile Observer observer = (backend, statement, text, commit) -> {};
  private long sequence;
  private String registered = "";

  Backend(Group group, Platform platform, String id, String zone, int slots, long workMillis)
      throws IOException {
    this.group = group;
    this.platform = platform;
    this.id = id;
    this.zone = zone;
    this.slots = slots;
    this.workMillis = workMillis;
    this.slotsFree = new Semaphore(slots, true);
    this.listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    group.add(this);
  }

  void start(boolean asPrimary) {
    primary = asPrimary;
    daemon("accept " + id, this::accept);
    daemon("register " + id, this::register);
  }

  private static void daemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  String id() {
    return id;
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  boolean isRunning() {
    return running;
  }

  boolean isPrimary() {
    return primary;
  }

  long term() {
    return term;
  }

  /** The newest term that this backend has heard of. */
  long knownTerm() {
    return term;
  }

  void setObserver(Observer newObserver) {
    observer = newObserver;
  }

  void setWorkMillis(long millis) {
    workMillis = millis;
  }

  void setDraining() {
    draining = true;
    group.trace().log("%s: reports draining", id);
  }

  /** Partitions this backend from the entry hosts: nothing arrives in either direction. */
  void cutFromHosts(boolean cut) {
    if (cut) {
      cutFromHostsAt = System.nanoTime();
      cutFromHosts = true;
    } else {
      long millis = (System.nanoTime() - cutFromHostsAt) / 1_000_000;
      if (millis > DARK_CONNECTION_MILLIS) {
        // The backend drops connections whose far end has been dark for this long.
        connections.forEach(Connection::abandon);
      }
      cutFromHosts = false;
    }
    group.trace().log("%s: %s the entry hosts", id, cut ? "partitioned from" : "reaches again");
  }

  void cutFromBackends(boolean cut) {
    cutFromBackends = cut;
    group.trace().log("%s: %s the other backends", id, cut ? "partitioned from" : "reaches again");
  }

  void cutFromStore(boolean cut) {
    cutFromStore = cut;
    group.trace().log("%s: %s the store", id, cut ? "partitioned from" : "reaches again");
  }

  /** As a replica, receives nothing. */
  void setDeaf(boolean newDeaf) {
    deaf = newDeaf;
    group.trace().log("%s: %s", id, newDeaf ? "receives nothing" : "receives again");
  }

  /** Ends the backend as if its process were killed. */
  void crash() {
    group.trace().log("%s: crashes, log ends at %s", id, receivedPosition());
    running = false;
    close();
  }

  boolean reaches(Backend other) {
    return running && other.running && !cutFromBackends && !other.cutFromBackends;
  }

  // ---- log

  private static Group.Entry last(List<Group.Entry> entries) {
    return entries.isEmpty() ? null : entries.get(entries.size() - 1);
  }

  String receivedPosition() {
    synchronized (group) {
      Group.Entry last = last(log);
      return last == null ? "1.0" : last.term() + "." + last.number();
    }
  }

  /** Returns the newest entry that reads of this backend see; null if there is none. */
  private Group.Entry applied() {
    synchronized (group) {
      if (primary) {
        return last(log);
      }
      double until = group.trace().now() - group.applyLagMillis();
      for (int i = log.size() - 1; i >= 0; i--) {
        if (log.get(i).at() <= until) {
          return log.get(i);
        }
      }
      return null;
    }
  }

  boolean has(Group.Entry entry) {
    synchronized (group) {
      return log.contains(entry);
    }
  }

  List<Group.Entry> logCopy() {
    synchronized (group) {
      return List.copyOf(log);
    }
  }

  void receiveFrom(Backend source) {
    if (deaf) {
      return;
    }
    int common = 0;
    while (common < log.size()
        && common < source.log.size()
        && log.get(common).equals(source.log.get(common))) {
      common++;
    }
    while (log.size() > common) {
      log.remove(log.size() - 1);
    }
    log.addAll(source.log.subList(common, source.log.size()));
    term = Math.max(term, source.term);
  }

  void lead(long newTerm) {
    term = newTerm;
    primary = true;
  }

  void follow() {
    primary = false;
    term = group.newestTerm();
    connections.forEach(Connection::loseLead);
  }

  // ---- registration

  private void register() {
    long silentSince = System.nanoTime();
    long lastBeat = 0;
    while (running) {
      String role = primary ? "primary" : "replica";
      String state = draining ? "draining" : "ready";
      boolean due = System.nanoTime() - lastBeat > HEARTBEAT_MILLIS * 1_000_000;
      boolean changed = !registered.equals(role + state);
      if (!cutFromStore && (due || changed)) {
        sequence++;
        platform.put(
            "servers",
            id,
            Json.write(
                Json.map(
                    "service", group.name(), "address", address(), "zone", zone, "version", "v1",
                    "slots", slots, "state", state, "coldLeftMs", 0, "dbRole", role, "seq",
                    sequence, "born", born)));
        registered = role + state;
        lastBeat = System.nanoTime();
        silentSince = lastBeat;
      } else if (cutFromStore
          && System.nanoTime() - silentSince > 3 * HEARTBEAT_MILLIS * 1_000_000) {
        platform.remove("servers", id);
        registered = "";
      }
      Group.sleep(20);
    }
    // After a crash the entry lapses with its heartbeats.
    Group.sleep(3 * HEARTBEAT_MILLIS);
    platform.remove("servers", id);
  }

  // ---- connections

  private void accept() {
    while (running) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Connection connection = new Connection(socket);
        connections.add(connection);
        daemon("connection " + id, connection::serve);
      } catch (IOException e) {
        return;
      }
    }
  }

  @Override
  public void close() {
    running = false;
    try {
      listener.close();
    } catch (IOException e) {
      group.trace().log("%s: %s", id, e);
    }
    connections.forEach(Connection::abandon);
  }

  private final class Connection {
    private final Socket socket;
    private final Map<String, String> variables = new HashMap<>();
    private final Map<String, String> prepared = new HashMap<>();
    private final List<String[]> writes = new ArrayList<>();
    private volatile boolean abandoned;
    private String state = "I";
    private boolean readOnly;
    private boolean lostLead;

    private Connection(Socket socket) {
      this.socket = socket;
    }

    void abandon() {
      abandoned = true;
      try {
        // A reset, as from a process that has ended.
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        group.trace().log("%s: %s", id, e);
      }
    }

    void loseLead() {
      if (!state.equals("I") && !readOnly) {
        lostLead = true;
      }
    }

    private void awaitPath() {
      while (cutFromHosts && running && !abandoned) {
        Group.sleep(2);
      }
    }

    private void send(String text) throws IOException {
      awaitPath();
      if (abandoned) {
        throw new IOException("abandoned");
      }
      OutputStream out = socket.getOutputStream();
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    private void serve() {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
        String[] start = read(in).split(" ", 4);
        Group.sleep(HANDSHAKE_MILLIS);
        if (start.length < 3
            || !start[0].equals("START")
            || !start[1].equals(group.name())
            || (start.length > 3 && !start[3].equals(id))) {
          send("ERROR MISROUTED this is " + id + "\r\n");
          return;
        }
        if (connections.size() > group.maximumConnections()) {
          send("ERROR TOOMANY " + id + "\r\n");
          return;
        }
        send("READY I " + position() + "\r\n");
        while (true) {
          String line = read(in);
          if (line.equals("CLOSE")) {
            return;
          }
          String[] words = line.split(" ", 3);
          if (!words[0].equals("QUERY") || words.length < 3) {
            group.trace().log("%s: unknown message %s", id, line);
            return;
          }
          send(answer(words[1], words[2]));
        }
      } catch (IOException e) {
        // The far end has closed the connection, which rolls back.
      } finally {
        connections.remove(this);
      }
    }

    private String read(InputStream in) throws IOException {
      String line = Client.Lines.read(in);
      awaitPath();
      if (abandoned || !running) {
        throw new IOException("abandoned");
      }
      return line;
    }

    private String position() {
      Group.Entry applied = applied();
      return applied == null ? "1.0" : applied.term() + "." + applied.number();
    }

    private String done(String proof) {
      return "COMPLETE " + proof + "\r\nREADY " + state + " " + position() + "\r\n";
    }

    private String error(String code) {
      if (!state.equals("I") && !code.equals("BUSY")) {
        state = "E";
      }
      return "ERROR " + code + " " + id + "\r\nREADY " + state + " " + position() + "\r\n";
    }

    private String answer(String statement, String text) {
      boolean own = statement.equals("-");
      String rest = text;
      if (rest.startsWith("AFTER ")) {
        String[] words = rest.split(" ", 3);
        rest = words[2];
        if (!covers(words[1])) {
          return error("LAGGING");
        }
      }
      String[] words = rest.split(" ", 4);
      switch (words[0]) {
        case "STATUS" -> {
          return String.format(
              "ROW %s %d %s 0 0 %d %d\r\n%s",
              primary ? "primary" : "replica",
              term,
              receivedPosition(),
              slots - slotsFree.availablePermits(),
              connections.size(),
              done("-"));
        }
        case "RESET" -> {
          variables.clear();
          prepared.clear();
          return done("-");
        }
        case "SET" -> {
          variables.put(words[1], rest.split(" ", 3)[2]);
          return done("-");
        }
        case "PREPARE" -> {
          prepared.put(words[1], words[2]);
          return done("-");
        }
        case "DEALLOC" -> {
          prepared.remove(words[1]);
          return done("-");
        }
        case "BEGIN" -> {
          readOnly = words.length > 1;
          if (!readOnly && !primary) {
            return error("READONLY");
          }
          writes.clear();
          lostLead = false;
          state = "T";
          return done("-");
        }
        case "ROLLBACK" -> {
          state = "I";
          writes.clear();
          return done("-");
        }
        default -> {
          return run(statement, own, text, rest, words);
        }
      }
    }

    private boolean covers(String wanted) {
      String[] parts = wanted.split("\\.");
      long wantedTerm = Long.parseLong(parts[0]);
      long wantedNumber = Long.parseLong(parts[1]);
      Group.Entry applied = applied();
      long haveTerm = applied == null ? 1 : applied.term();
      long haveNumber = applied == null ? 0 : applied.number();
      return haveTerm > wantedTerm || (haveTerm == wantedTerm && haveNumber >= wantedNumber);
    }

    private String run(String statement, boolean own, String text, String rest, String[] words) {
      String kind = words[0];
      String item = words.length > 1 ? words[1] : "";
      String data = rest.split(" ", 3).length > 2 ? rest.split(" ", 3)[2] : "";
      if (kind.equals("EXECUTE")) {
        kind = prepared.get(words[1]);
        if (kind == null) {
          return error("NOSTMT");
        }
        item = words.length > 2 ? words[2] : "";
        data = words.length > 3 ? words[3] : "";
      }
      if (state.equals("E") && !kind.equals("COMMIT")) {
        return error("MALFORMED");
      }
      if (slotsFree.getQueueLength() >= QUEUE) {
        return error("BUSY");
      }
      if (lostLead && !(kind.equals("COMMIT") && writes.isEmpty())) {
        return error("READONLY");
      }
      try {
        if (!slotsFree.tryAcquire(3, TimeUnit.SECONDS)) {
          return error("BUSY");
        }
        try {
          Group.sleep(workMillis);
          return execute(statement, text, kind, item, data);
        } finally {
          slotsFree.release();
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return error("BUSY");
      }
    }

    private String execute(String statement, String text, String kind, String item, String data) {
      switch (kind) {
        case "READ" -> {
          String found = null;
          synchronized (group) {
            Group.Entry applied = applied();
            for (Group.Entry entry : log) {
              if (entry.item().equals(item)) {
                found = entry.data();
              }
              if (entry == applied) {
                break;
              }
            }
            if (applied == null) {
              found = null;
            }
          }
          observer.ran(Backend.this, statement, text, null);
          return (found == null ? "" : "ROW " + found + "\r\n") + done(proof());
        }
        case "WRITE" -> {
          if (!primary || readOnly && state.equals("T")) {
            return error("READONLY");
          }
          if (state.equals("T")) {
            writes.add(new String[] {item, data});
            observer.ran(Backend.this, statement, text, null);
            return done(proof());
          }
          return commit(statement, text, List.<String[]>of(new String[] {item, data}));
        }
        case "COMMIT" -> {
          boolean failed = state.equals("E");
          state = "I";
          List<String[]> pending = List.copyOf(writes);
          writes.clear();
          if (failed) {
            return error("ABORTED");
          }
          if (pending.isEmpty()) {
            observer.ran(Backend.this, statement, text, null);
            return done(proof());
          }
          return primary ? commit(statement, text, pending) : error("READONLY");
        }
        default -> {
          return error("MALFORMED");
        }
      }
    }

    private String commit(String statement, String text, List<String[]> pending) {
      Group.Entry last = null;
      synchronized (group) {
        if (!primary || !running) {
          return error("READONLY");
        }
        for (String[] write : pending) {
          Group.Entry before = last(log);
          last =
              new Group.Entry(
                  term,
                  before == null ? 1 : before.number() + 1,
                  statement,
                  write[0],
                  write[1],
                  group.trace().now());
          log.add(last);
        }
      }
      observer.ran(Backend.this, statement, text, last);
      if (!group.awaitReplicas(Backend.this, last, 3000)) {
        return error("TIMEOUT");
      }
      return done(proof());
    }

    private String proof() {
      return Long.toHexString(PROOFS.incrementAndGet()) + "." + id;
    }
  }
}

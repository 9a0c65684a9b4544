package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of a backend server of the users' platform. */
final class Backend implements AutoCloseable {
  private static final long WORK_MILLIS = 3;

  final String id;
  final String zone;
  private final Group group;
  private final ServerSocket listener;
  private final List<Group.Commit> log = new ArrayList<>();
  private Backend followed;
  private boolean primary;
  private long term = 1;
  volatile boolean down;
  volatile boolean draining;
  volatile boolean left;

  /** Until when all slots are taken: what needs a slot gets BUSY. */
  volatile long busyFrom = Long.MAX_VALUE;

  volatile long busyUntil;
  private final Set<Wire> connections = ConcurrentHashMap.newKeySet();

  Backend(Group group, String id, String zone) throws IOException {
    this.group = group;
    this.id = id;
    this.zone = zone;
    this.listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    Thread thread = new Thread(this::accept, id);
    thread.setDaemon(true);
    thread.start();
  }

  /** The entry that the backend writes in the store. */
  String entry() {
    synchronized (group) {
      return String.format(
          "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\","
              + "\"slots\":3,\"state\":\"%s\",\"coldLeftMs\":0,\"dbRole\":\"%s\",\"seq\":%d,"
              + "\"born\":1764000000000}",
          group.service,
          listener.getLocalPort(),
          zone,
          draining ? "draining" : "ready",
          primary ? "primary" : "replica",
          Record.now() / 1000);
    }
  }

  void lead(long newTerm) {
    synchronized (group) {
      primary = true;
      term = newTerm;
      followed = null;
    }
  }

  void follow(Backend leader) {
    synchronized (group) {
      if (leader == this) {
        return;
      }
      primary = false;
      followed = leader;
      term = leader.term;
    }
  }

  int logSize() {
    synchronized (group) {
      return log.size();
    }
  }

  /** Receives what the followed primary had committed by the given time; drops what differs. */
  void pull(long until) {
    if (followed == null) {
      return;
    }
    int same = 0;
    while (same < log.size()
        && same < followed.log.size()
        && log.get(same) == followed.log.get(same)) {
      same++;
    }
    while (log.size() > same) {
      log.remove(log.size() - 1);
    }
    while (log.size() < followed.log.size() && followed.log.get(log.size()).at() <= until) {
      log.add(followed.log.get(log.size()));
    }
  }

  private String position() {
    return log.isEmpty() ? term + ".0" : log.get(log.size() - 1).term() + "." + log.size();
  }

  private boolean hasPosition(String text) {
    String[] parts = text.split("\\.");
    int number = Integer.parseInt(parts[1]);
    return number == 0
        || (number <= log.size() && log.get(number - 1).term() == Long.parseLong(parts[0]));
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        Thread thread = new Thread(() -> serve(socket), id + "-connection");
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (Wire wire = new Wire(socket)) {
      connections.add(wire);
      String[] words = wire.readLine().split(" ");
      if (down) {
        wire.reset();
        return;
      }
      if (words.length < 3
          || !words[1].equals(group.service)
          || (words.length > 3 && !words[3].equals(id))) {
        wire.write("ERROR MISROUTED " + id + "\r\n");
        return;
      }
      Session session = new Session(words[2]);
      synchronized (group) {
        wire.write("READY I " + position() + "\r\n");
      }
      for (String line = wire.readLine(); !line.equals("CLOSE"); line = wire.readLine()) {
        String[] query = line.split(" ", 3);
        String answer = session.answer(query[1], query[2]);
        if (down) {
          wire.reset();
          return;
        }
        wire.write(answer);
      }
    } catch (IOException e) {
      // The machine has closed the connection, which rolls back.
    }
  }

  /** One connection. */
  private final class Session {
    private final String tenant;
    private final Map<String, String[]> prepared = new HashMap<>();
    private final List<String[]> writes = new ArrayList<>();
    private char state = 'I';
    private boolean readOnly;

    private Session(String tenant) {
      this.tenant = tenant;
    }

    private String answer(String request, String text) {
      String position = null;
      String statement = text;
      if (statement.startsWith("AFTER ")) {
        String[] parts = statement.split(" ", 3);
        position = parts[1];
        statement = parts[2];
      }
      String[] words = statement.split(" ", 3);
      if (words[0].equals("EXECUTE")) {
        String[] shape = prepared.get(words[1]);
        if (shape == null) {
          return end("ERROR NOSTMT " + words[1]);
        }
        words = (shape[0] + " " + (words.length > 2 ? words[2] : "")).split(" ", 3);
      }
      boolean needsSlot =
          words[0].equals("READ")
              || words[0].equals("WRITE")
              || words[0].equals("COMMIT")
              || words[0].equals("STATUS");
      if (needsSlot && Record.now() >= busyFrom && Record.now() < busyUntil) {
        group.record.write("%s answers BUSY to %s", id, statement);
        return end("ERROR BUSY " + id);
      }
      if (needsSlot && !words[0].equals("STATUS")) {
        Store.sleep(WORK_MILLIS);
      }
      synchronized (group) {
        if (position != null && !hasPosition(position)) {
          return end("ERROR LAGGING " + id);
        }
        switch (words[0]) {
          case "STATUS":
            return "ROW "
                + (primary ? "primary " : "replica ")
                + term
                + " "
                + position()
                + " 0 0 0 1\r\n"
                + end("COMPLETE -");
          case "SET", "DEALLOC":
            return end("COMPLETE -");
          case "RESET":
            prepared.clear();
            return end("COMPLETE -");
          case "PREPARE":
            String[] parts = statement.split(" ", 4);
            prepared.put(parts[1], new String[] {parts[2]});
            return end("COMPLETE -");
          case "BEGIN":
            readOnly = words.length > 1;
            if (!readOnly && !primary) {
              return end("ERROR READONLY " + id);
            }
            state = 'T';
            return end("COMPLETE -");
          case "ROLLBACK":
            writes.clear();
            state = 'I';
            return end("COMPLETE -");
          case "READ":
            if (state == 'T' && !readOnly && !primary) {
              return fail("READONLY");
            }
            String item = words[1];
            String found = "";
            for (Group.Commit commit : log) {
              found = commit.item().equals(item) ? commit.data() : found;
            }
            group.record.write(
                "%s runs %s READ %s for %s on a log of %d, leads=%s",
                id, request, item, tenant, log.size(), group.leader() == Backend.this);
            return "ROW " + found + "\r\n" + end("COMPLETE " + group.nextProof(Backend.this));
          case "WRITE":
            if (!primary) {
              return fail("READONLY");
            }
            String[] write = {words[1], words.length > 2 ? words[2] : "", request};
            if (state == 'T') {
              writes.add(write);
            } else {
              commit(List.<String[]>of(write), request);
            }
            return end("COMPLETE " + group.nextProof(Backend.this));
          case "COMMIT":
            if (!primary && !writes.isEmpty()) {
              return fail("READONLY");
            }
            commit(List.copyOf(writes), request);
            writes.clear();
            state = 'I';
            return end("COMPLETE " + group.nextProof(Backend.this));
          default:
            return end("ERROR MALFORMED " + words[0]);
        }
      }
    }

    private void commit(List<String[]> committed, String request) {
      boolean leads = group.leader() == Backend.this;
      for (String[] write : committed) {
        log.add(new Group.Commit(term, write[0], write[1], write[2], Record.now()));
      }
      if (!committed.isEmpty()) {
        group.record.write(
            "%s commits %s for %s as %d.%d, leads=%s",
            id, request, tenant, term, log.size(), leads);
        if (!leads) {
          group.commitsOfDeposed.computeIfAbsent(request, key -> new ArrayList<>()).add(id);
        }
      }
    }

    private String fail(String code) {
      if (state == 'T') {
        state = 'E';
      }
      return end("ERROR " + code + " " + id);
    }

    private String end(String line) {
      return line + "\r\nREADY " + state + " " + position() + "\r\n";
    }
  }

  /** Ends the process after it has drained. */
  void leave() {
    left = true;
    close();
    connections.forEach(Wire::close);
  }

  @Override
  public void close() {
    try {
      listener.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }
}

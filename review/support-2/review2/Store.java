package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's metadata store and promotion service, as PROTOCOL.md describes them.
 * Each machine has an address of its own, so that the store can tell machines apart.
 */
final class Store implements AutoCloseable {
  private static final int TRANSACTION_MILLIS = 4;

  /** What the store does with a call. */
  enum Fate {
    /** It serves the call. */
    SERVE,
    /** It answers 503: nothing was done. */
    BUSY,
    /** It gives no answer and performs the call later, if its condition still holds. */
    LOSE_AND_PERFORM_LATE
  }

  /** Decides on the fate of a call of a machine. */
  interface Faults {
    Fate fate(String machine, String path, Map<String, Object> body);

    /** Returns after how many milliseconds a lost call is performed. */
    default long lateMillis() {
      return 1000;
    }
  }

  /** Receives the orders to promote a backend. */
  interface Promotions {
    /** Returns the status of the answer. */
    int promote(String machine, String service, String id, String holder, String fence);
  }

  private record Row(String table, String key, String value, long version) {}

  private final Record record;
  private final Map<String, Row> rows = new TreeMap<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
          });
  private long version = 1;
  volatile Faults faults = (machine, path, body) -> Fate.SERVE;
  volatile Promotions promotions = (machine, service, id, holder, fence) -> 404;

  Store(Record record) {
    this.record = record;
  }

  /** Opens the address of a machine. */
  String open(String machine) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
    server.setExecutor(threads);
    server.createContext("/", exchange -> serve(machine, exchange));
    server.start();
    servers.add(server);
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  synchronized void put(String table, String key, String text) {
    rows.put(
        table + "/" + key,
        new Row(
            table,
            key,
            Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)),
            ++version));
  }

  synchronized void remove(String table, String key) {
    if (rows.remove(table + "/" + key) != null) {
      version++;
    }
  }

  synchronized String text(String table, String key) {
    Row row = rows.get(table + "/" + key);
    return row == null
        ? ""
        : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
  }

  /** The texts of the rows that a transaction writes in a table. */
  @SuppressWarnings("unchecked")
  static String written(Map<String, Object> body, String table) {
    StringBuilder texts = new StringBuilder();
    for (Object write : (List<Object>) body.getOrDefault("writes", List.of())) {
      Map<String, Object> row = (Map<String, Object>) write;
      if (row.get("table").equals(table)) {
        texts
            .append(row.get("key"))
            .append('=')
            .append(
                new String(
                    Base64.getDecoder().decode((String) row.get("value")), StandardCharsets.UTF_8))
            .append(';');
      }
    }
    return texts.toString();
  }

  private void serve(String machine, HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    Map<String, Object> body = text.isEmpty() ? Map.of() : Json.object(text);
    if (path.equals("/promotion")) {
      String holder = exchange.getRequestHeaders().getFirst("Duty-Holder");
      String fence = exchange.getRequestHeaders().getFirst("Fence-Token");
      int status =
          promotions.promote(
              machine, (String) body.get("service"), (String) body.get("id"), holder, fence);
      answer(exchange, status, Map.of());
      return;
    }
    Fate fate = faults.fate(machine, path, body);
    if (fate == Fate.BUSY) {
      answer(exchange, 503, Map.of());
      return;
    }
    if (fate == Fate.LOSE_AND_PERFORM_LATE) {
      long late = faults.lateMillis();
      sleep(late);
      Map<String, Object> result = new LinkedHashMap<>();
      int status = transact(body, result);
      record.write(
          "store: the unanswered call of %s is performed %d ms late: %s",
          machine, late, status == 200 ? "its condition holds" : "its condition fails");
      // No answer: the connection stays open until the machine gives the call up.
      return;
    }
    Map<String, Object> result = new LinkedHashMap<>();
    if (path.equals("/-/rows-tx")) {
      sleep(TRANSACTION_MILLIS);
      answer(exchange, transact(body, result), result);
    } else if (path.equals("/-/rows-get")) {
      String query = String.valueOf(exchange.getRequestURI().getQuery());
      String table = query.replaceAll(".*table=([^&]*).*", "$1");
      list(table, result);
      answer(exchange, 200, result);
    } else {
      answer(exchange, 404, Map.of());
    }
  }

  @SuppressWarnings("unchecked")
  private synchronized int transact(Map<String, Object> body, Map<String, Object> result) {
    boolean holds = true;
    List<Object> current = new ArrayList<>();
    for (Object entry : (List<Object>) body.get("expect")) {
      Map<String, Object> expected = (Map<String, Object>) entry;
      Row row = rows.get(expected.get("table") + "/" + expected.get("key"));
      holds &= ((Number) expected.get("ver")).longValue() == (row == null ? 0 : row.version());
      current.add(
          encode(
              row != null
                  ? row
                  : new Row(
                      (String) expected.get("table"), (String) expected.get("key"), "", 0)));
    }
    if (holds) {
      List<Object> writes = (List<Object>) body.getOrDefault("writes", List.of());
      if (!writes.isEmpty()) {
        version++;
      }
      for (Object entry : writes) {
        Map<String, Object> write = (Map<String, Object>) entry;
        String table = (String) write.get("table");
        String key = (String) write.get("key");
        rows.put(table + "/" + key, new Row(table, key, (String) write.get("value"), version));
      }
    }
    result.put("rows", holds ? List.of() : current);
    result.put("ver", version);
    result.put("nowMs", Record.now() + 50_000);
    return holds ? 200 : 412;
  }

  private synchronized void list(String table, Map<String, Object> result) {
    List<Object> found = new ArrayList<>();
    rows.values().stream()
        .filter(row -> row.table().equals(table))
        .forEach(row -> found.add(encode(row)));
    result.put("rows", found);
    result.put("hasMore", false);
    result.put("ver", version);
    result.put("nowMs", Record.now() + 50_000);
  }

  private static Map<String, Object> encode(Row row) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("table", row.table());
    fields.put("part", "");
    fields.put("key", row.key());
    fields.put("value", row.value());
    fields.put("ver", row.version());
    return fields;
  }

  private static void answer(HttpExchange exchange, int status, Map<String, Object> body) {
    try {
      byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().add("Content-Type", "application/json");
      exchange.getResponseHeaders().add("Store-Era", "0");
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
      exchange.close();
    } catch (IOException e) {
      // The machine has given the call up.
      exchange.close();
    }
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
    servers.forEach(server -> server.stop(0));
    threads.shutdownNow();
  }
}

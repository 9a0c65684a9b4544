package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform: the metadata store with the calls that transactions, range reads and
 * the list of servers need, and the service that promotes backends.
 */
final class Platform implements AutoCloseable {
  /** What a call to the promotion service asks for. */
  record Promotion(String service, String id, String holder, long fence) {}

  /** Decides on a promotion; returns the HTTP status. */
  interface PromotionService {
    int promote(Promotion promotion) throws InterruptedException;
  }

  private static final long TRANSACTION_MILLIS = 4;
  private static final int MAXIMUM_ROWS = 500;

  private record Row(String table, String part, String key, String value, long version) {}

  private final Trace trace;
  private final Map<String, Row> rows = new TreeMap<>();
  private final long startedAt = System.nanoTime();
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "platform");
            thread.setDaemon(true);
            return thread;
          });
  private final HttpServer store;
  private final HttpServer cloud;
  private long version = 1;
  private volatile PromotionService promotions = promotion -> 409;
  private volatile String storeAddress;

  Platform(Trace trace) throws IOException {
    this.trace = trace;
    store = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    store.createContext("/-/rows-tx", this::transact);
    store.createContext("/-/rows-get", this::range);
    store.setExecutor(threads);
    store.start();
    cloud = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    cloud.createContext("/promotion", this::promotion);
    cloud.setExecutor(threads);
    cloud.start();
  }

  /** Returns the address that the next entry host uses for the store. */
  String storeAddress() {
    return storeAddress == null ? ownStoreAddress() : storeAddress;
  }

  String ownStoreAddress() {
    return "127.0.0.1:" + store.getAddress().getPort();
  }

  /** Lets the entry hosts that start from now on reach the store through a proxy. */
  void setStoreAddress(String address) {
    storeAddress = address;
  }

  String cloudAddress() {
    return "127.0.0.1:" + cloud.getAddress().getPort();
  }

  void setPromotions(PromotionService service) {
    promotions = service;
  }

  synchronized void put(String table, String key, String text) {
    String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    version++;
    rows.put(name(table, "", key), new Row(table, "", key, value, version));
  }

  synchronized void remove(String table, String key) {
    if (rows.remove(name(table, "", key)) != null) {
      version++;
    }
  }

  /** Returns the text of a row; null if it does not exist. */
  synchronized String get(String table, String key) {
    Row row = rows.get(name(table, "", key));
    return row == null
        ? null
        : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
  }

  private static String name(String table, String part, String key) {
    return table + "\0" + part + "\0" + key;
  }

  private static String name(Map<String, Object> entry) {
    return name((String) entry.get("table"), part(entry), (String) entry.get("key"));
  }

  private static String part(Map<String, Object> entry) {
    Object part = entry.get("part");
    return part == null ? "" : (String) part;
  }

  private static Map<String, Object> encode(Row row) {
    return Json.map(
        "table", row.table(), "part", row.part(), "key", row.key(), "value", row.value(), "ver",
        row.version());
  }

  private void transact(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    Map<String, Object> call = Json.object(Json.parse(body));
    pause(TRANSACTION_MILLIS);
    List<Object> current = new ArrayList<>();
    boolean holds = true;
    Map<String, Object> answer;
    synchronized (this) {
      for (Object entry : Json.list(call.get("expect"))) {
        Map<String, Object> expected = Json.object(entry);
        Row row = rows.get(name(expected));
        holds &= (Long) expected.get("ver") == (row == null ? 0 : row.version());
        if (row != null) {
          current.add(encode(row));
        }
      }
      boolean allowed = true;
      for (Object entry : Json.list(call.get("writes"))) {
        String table = (String) Json.object(entry).get("table");
        allowed &= !table.equals("op") && !table.equals("servers");
      }
      if (!allowed) {
        answer = null;
      } else {
        if (holds) {
          version++;
          for (Object entry : Json.list(call.get("writes"))) {
            Map<String, Object> write = Json.object(entry);
            rows.put(
                name(write),
                new Row(
                    (String) write.get("table"),
                    part(write),
                    (String) write.get("key"),
                    (String) write.get("value"),
                    version));
          }
          for (Object entry : Json.list(call.get("remove"))) {
            rows.remove(name(Json.object(entry)));
          }
        }
        answer = Json.map("ver", version, "nowMs", nowMillis());
        if (!holds) {
          answer.put("rows", current);
        }
      }
    }
    if (answer == null) {
      answer(exchange, 403, Map.of());
    } else {
      answer(exchange, holds ? 200 : 412, answer);
    }
  }

  private long nowMillis() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  private void range(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    String from = query.getOrDefault("from", "");
    String end = query.get("target");
    int limit = Math.min(MAXIMUM_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
    pause(TRANSACTION_MILLIS);
    List<Object> found = new ArrayList<>();
    boolean hasMore = false;
    Map<String, Object> answer;
    synchronized (this) {
      for (Row row : rows.values()) {
        if (row.table().equals(query.get("table"))
            && row.part().equals(query.getOrDefault("part", ""))
            && row.key().compareTo(from) >= 0
            && (end == null || row.key().compareTo(end) < 0)) {
          if (found.size() == limit) {
            hasMore = true;
            break;
          }
          found.add(encode(row));
        }
      }
      answer = Json.map("rows", found, "hasMore", hasMore, "ver", version, "nowMs", nowMillis());
    }
    answer(exchange, 200, answer);
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      String[] parts = pair.split("=", 2);
      query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
    }
    return query;
  }

  private void promotion(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    Map<String, Object> call = Json.object(Json.parse(body));
    Promotion promotion =
        new Promotion(
            (String) call.get("service"),
            (String) call.get("id"),
            exchange.getRequestHeaders().getFirst("Duty-Holder"),
            Long.parseLong(exchange.getRequestHeaders().getFirst("Fence-Token")));
    trace.log(
        "platform: POST /promotion service=%s id=%s holder=%s fence=%d",
        promotion.service(), promotion.id(), promotion.holder(), promotion.fence());
    int status = 500;
    try {
      status = promotions.promote(promotion);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    answer(exchange, status, Map.of());
  }

  private static void answer(HttpExchange exchange, int status, Map<String, Object> body)
      throws IOException {
    byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    store.stop(0);
    cloud.stop(0);
    threads.shutdownNow();
  }
}

package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A client whose data hold a line feed, which isn't the end of a line of the protocol. */
final class LineFeed extends Case {
  private final Map<String, List<String>> ran = new ConcurrentHashMap<>();

  public static void main(String[] arguments) throws Exception {
    Case.main(new LineFeed(), arguments);
  }

  @Override
  boolean run() throws Exception {
    Group group = use(new Group("svc1", 54, 0, trace));
    for (int i = 0; i < 3; i++) {
      Backend backend = new Backend(group, platform, "i-" + (i + 1), "zone-" + (i + 1), 3, 6);
      backend.setObserver(
          (server, id, text, commit) -> {
            ran.computeIfAbsent(id, unused -> new ArrayList<>()).add(text);
            trace.log("%s runs %s %s", server.id(), id, shown(text));
          });
      backend.start(i == 0);
    }
    group.start();
    new Manifest()
        .service("svc1", 54, 0)
        .route("bookings", "svc1", "primary", 800, 150, 0)
        .tenant("tenant1", "key1", 100, 100)
        .publish(platform, trace);
    EntryHost host = host("front-1", "zone-1");
    host.awaitReady(20_000);
    Map<String, String> sent = new ConcurrentHashMap<>();
    Set<String> idsInData = ConcurrentHashMap.newKeySet();
    int answers = 0;
    for (int i = 0; i < 5; i++) {
      try (Client client = Client.open(host.frontPort(), "bookings", "key1")) {
        String plain = Client.newId();
        sent.put(plain, "WRITE item" + i + " plain");
        answers += client.query(plain, sent.get(plain)).succeeded() ? 1 : 0;
        if (trouble) {
          // A note of two lines that someone has typed; its second line looks like a message.
          String id = Client.newId();
          String inside = Client.newId();
          String text = "WRITE note" + i + " tank 7\nQUERY " + inside + " WRITE item" + i + " gone";
          sent.put(id, text);
          idsInData.add(inside);
          trace.log("client sends %s %s", id, shown(text));
          client.setTimeout(1500);
          try {
            Client.Answer answer = client.query(id, text);
            trace.log("client gets %s for %s", answer.code(), id);
          } catch (java.io.IOException e) {
            trace.log("client: %s", e);
          }
          Thread.sleep(300);
        }
      }
    }
    if (answers < 3) {
      throw new CannotRun("plain writes were not answered");
    }
    int foreign = 0;
    int changed = 0;
    for (Map.Entry<String, List<String>> entry : ran.entrySet()) {
      for (String text : entry.getValue()) {
        String original = sent.get(entry.getKey());
        if (original == null) {
          foreign++;
          trace.log(
              "RULE UNASKED: statement %s '%s' was run and no client sent it%s",
              entry.getKey(),
              shown(text),
              idsInData.contains(entry.getKey()) ? "; it stood inside the data of another" : "");
        } else if (!original.equals(text)) {
          changed++;
          trace.log(
              "RULE UNASKED: statement %s was sent as '%s' and run as '%s'",
              entry.getKey(), shown(original), shown(text));
        }
      }
    }
    trace.say(
        "statements sent %d; run that no client sent %d; run with changed text %d",
        sent.size(), foreign, changed);
    return foreign == 0 && changed == 0;
  }

  private static String shown(String text) {
    return text.replace("\r", "\\r").replace("\n", "\\n");
  }
}

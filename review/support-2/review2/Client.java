package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A client's session. */
final class Client implements AutoCloseable {
  private static final AtomicLong IDS = new AtomicLong(0x5c0e7a21d94b0000L);

  /** An answer to a statement; success tells whether it ended with COMPLETE. */
  record Answer(String id, boolean success, List<String> rows, String end, String ready) {}

  private final Wire wire;
  private final Record record;
  private final String name;

  Client(String name, int port, String database, String key, Record record) throws IOException {
    this.name = name;
    this.record = record;
    wire = Wire.connect("127.0.0.1", port, 4000);
    wire.write("START " + database + " " + key + "\r\n");
    String line = wire.readLine();
    if (!line.startsWith("READY")) {
      throw new IOException(line);
    }
  }

  static String nextId() {
    return Long.toHexString(IDS.incrementAndGet());
  }

  Answer query(String text) throws IOException {
    return query(nextId(), text);
  }

  Answer query(String id, String text) throws IOException {
    long sentAt = Record.now();
    record.write(sentAt, "%s sends %s %s", name, id, text);
    wire.write("QUERY " + id + " " + text + "\r\n");
    List<String> rows = new ArrayList<>();
    String end = "";
    for (String line = wire.readLine(); ; line = wire.readLine()) {
      if (line.startsWith("ROW")) {
        rows.add(line.length() > 4 ? line.substring(4) : "");
      } else if (line.startsWith("READY")) {
        record.write("%s gets for %s: %s, rows %s", name, id, end, rows);
        return new Answer(id, end.startsWith("COMPLETE"), rows, end, line);
      } else {
        end = line;
      }
    }
  }

  @Override
  public void close() {
    wire.close();
  }
}

package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with milliseconds since the start. */
final class Record implements AutoCloseable {
  private static final long START = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Milliseconds since the start of the run, on the steady clock. */
  static long now() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  void write(String format, Object... values) {
    write(now(), format, values);
  }

  synchronized void write(long at, String format, Object... values) {
    out.println(String.format("%7d ms  ", at) + String.format(format, values));
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}

package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with the time since the start. */
final class Trace implements AutoCloseable {
  private final PrintWriter out;
  private final long startedAt = System.nanoTime();

  Trace(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Milliseconds since the start of the case. */
  double now() {
    return (System.nanoTime() - startedAt) / 1e6;
  }

  synchronized void log(String format, Object... arguments) {
    String text = arguments.length == 0 ? format : String.format(format, arguments);
    out.printf("%10.1f %s%n", now(), text);
    out.flush();
  }

  /** Writes a line to the record and to the standard output. */
  void say(String format, Object... arguments) {
    log(format, arguments);
    System.out.println(arguments.length == 0 ? format : String.format(format, arguments));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}

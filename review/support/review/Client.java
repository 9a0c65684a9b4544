package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A client's session: one connection, one request at a time. */
final class Client implements AutoCloseable {
  private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

  /** The answer to one request. */
  record Answer(List<String> rows, String proof, String error, String state, String position) {
    boolean succeeded() {
      return error == null;
    }

    /** Returns the error code, or OK. */
    String code() {
      return error == null ? "OK" : error.split(" ", 2)[0];
    }
  }

  private final Socket socket;
  private final InputStream in;

  private Client(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new BufferedInputStream(socket.getInputStream());
  }

  /** Opens a session; throws an exception if it is refused. */
  static Client open(int port, String database, String key) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2000);
    socket.setSoTimeout(2000);
    Client client = new Client(socket);
    client.sendText("START " + database + " " + key + "\r\n");
    String line = client.line();
    if (!line.startsWith("READY")) {
      client.close();
      throw new IOException("refused: " + line);
    }
    return client;
  }

  static String newId() {
    return String.format("%016x", IDS.incrementAndGet());
  }

  void setTimeout(int millis) throws IOException {
    socket.setSoTimeout(millis);
  }

  void sendText(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  Answer query(String id, String text) throws IOException {
    sendText("QUERY " + id + " " + text + "\r\n");
    return answer();
  }

  Answer answer() throws IOException {
    List<String> rows = new ArrayList<>();
    String proof = null;
    String error = null;
    while (true) {
      String line = line();
      if (line.startsWith("ROW ")) {
        rows.add(line.substring(4));
      } else if (line.startsWith("COMPLETE ")) {
        proof = line.substring(9);
      } else if (line.startsWith("ERROR ")) {
        error = line.substring(6);
      } else if (line.startsWith("READY ")) {
        String[] words = line.split(" ");
        return new Answer(rows, proof, error, words[1], words.length > 2 ? words[2] : "-");
      } else {
        throw new IOException("unexpected line: " + line);
      }
    }
  }

  private String line() throws IOException {
    return Lines.read(in);
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // The connection is of no further use either way.
    }
  }

  /** Reads lines that end with CR LF. */
  static final class Lines {
    private Lines() {}

    static String read(InputStream in) throws IOException {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      int last = -1;
      while (true) {
        int next = in.read();
        if (next < 0) {
          throw new EOFException("closed");
        }
        if (last == '\r' && next == '\n') {
          String text = bytes.toString(StandardCharsets.ISO_8859_1);
          return text.substring(0, text.length() - 1);
        }
        bytes.write(next);
        last = next;
      }
    }
  }
}

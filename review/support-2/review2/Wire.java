package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One end of a connection of the wire protocol: lines that end with CR LF. */
final class Wire implements AutoCloseable {
  private final Socket socket;
  private final InputStream in;

  Wire(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new BufferedInputStream(socket.getInputStream());
    socket.setTcpNoDelay(true);
  }

  static Wire connect(String address, int port, int timeoutMillis) throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress(address, port), 2000);
    socket.setSoTimeout(timeoutMillis);
    return new Wire(socket);
  }

  String readLine() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int last = -1;
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (last == '\r' && next == '\n') {
        return bytes.toString(StandardCharsets.ISO_8859_1).substring(0, bytes.size() - 1);
      }
      bytes.write(next);
      last = next;
    }
    throw new EOFException("closed");
  }

  synchronized void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  boolean isClosed() {
    return socket.isClosed();
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  void reset() {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // It is closed already.
    }
    close();
  }
}

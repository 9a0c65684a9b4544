package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** The link of one entry host to the store, with a limited bandwidth towards the host. */
final class SlowLink implements AutoCloseable {
  private static final int PACKET_BYTES = 1500;
  private static final double BITS_PER_BYTE = 8;

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final double nanosPerByte;
  private long freeAt = System.nanoTime();

  SlowLink(String target, double megabitsPerSecond) throws IOException {
    String[] parts = target.split(":");
    this.target = new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
    this.nanosPerByte = BITS_PER_BYTE * 1e3 / megabitsPerSecond;
    this.listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void daemon(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // Either end has closed the connection.
              }
            },
            "link");
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void accept() throws IOException {
    while (true) {
      Socket host = listener.accept();
      daemon(
          () -> {
            Socket store = new Socket();
            store.connect(target, 1000);
            daemon(() -> copy(store, host, true));
            copy(host, store, false);
          });
    }
  }

  private void copy(Socket from, Socket to, boolean limited) throws IOException {
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] buffer = new byte[PACKET_BYTES];
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        if (limited) {
          awaitTurn(read);
        }
        out.write(buffer, 0, read);
      }
    }
  }

  /** Waits until the link has carried all earlier bytes and these. */
  private void awaitTurn(int bytes) {
    long due;
    synchronized (this) {
      freeAt = Math.max(freeAt, System.nanoTime()) + (long) (bytes * nanosPerByte);
      due = freeAt;
    }
    long millis = (due - System.nanoTime()) / 1_000_000;
    if (millis > 0) {
      Group.sleep(millis);
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}

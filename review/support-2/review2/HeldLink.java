package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * The link of a machine to an address. While it is cut, it holds up what the machine sends, and
 * delivers that afterwards unless the machine has reset the connection.
 */
final class HeldLink implements AutoCloseable {
  /** Learns that the machine has sent something while the link is cut. */
  interface Listener {
    void held();
  }

  private final int target;
  private final ServerSocket listener;
  private volatile boolean cut;
  private volatile Listener onHeld = () -> {};

  HeldLink(String target) throws IOException {
    this.target = Integer.parseInt(target.substring(target.indexOf(':') + 1));
    this.listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    Thread thread = new Thread(this::accept, "link");
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  void cut(Listener listener) {
    onHeld = listener;
    cut = true;
  }

  void heal() {
    cut = false;
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket machine = listener.accept();
        Socket server = new Socket(InetAddress.getByName("127.0.0.1"), target);
        start(() -> copy(machine, server, true));
        start(() -> copy(server, machine, false));
      } catch (IOException e) {
        return;
      }
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "link-copy");
    thread.setDaemon(true);
    thread.start();
  }

  private void copy(Socket from, Socket to, boolean isHeld) {
    byte[] buffer = new byte[16 * 1024];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (isHeld && cut) {
          onHeld.held();
          while (cut) {
            Store.sleep(2);
          }
          // What the machine has given up meanwhile is lost: its reset ends the connection.
          from.setSoTimeout(1);
          try {
            if (in.available() == 0 && isReset(from)) {
              return;
            }
          } finally {
            from.setSoTimeout(0);
          }
        }
        out.write(buffer, 0, count);
      }
    } catch (IOException e) {
      // One end has closed the connection.
    }
  }

  /** Returns whether the connection has ended; called while nothing is expected to arrive. */
  private static boolean isReset(Socket socket) {
    try {
      return socket.getInputStream().read() < 0;
    } catch (java.net.SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
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

package review;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** An entry host: one process, started with the command and the template of the deploy file. */
final class EntryHost implements AutoCloseable {
  private final String name;
  private final int frontPort;
  private final int readyPort;
  private final Process process;

  private EntryHost(String name, int frontPort, int readyPort, Process process) {
    this.name = name;
    this.frontPort = frontPort;
    this.readyPort = readyPort;
    this.process = process;
  }

  static EntryHost start(String name, String zone, Platform platform, Path folder)
      throws IOException {
    int front = freePort();
    int ready = freePort();
    int peer = freePort();
    Map<String, Object> host =
        Json.map(
            "nodeName", name,
            "role", "entryhost",
            "machineClass", "front",
            "serves", List.of("front"),
            "ip", "127.0.0.1",
            "zone", zone,
            "region", "region-1",
            "internalPorts", List.of(peer, peer),
            "bootstrap", true,
            "heartbeatMs", Backend.HEARTBEAT_MILLIS,
            "contracts",
                List.of(
                    "base", "drain", "config", "cost", "recover", "sql", "tenants", "quota",
                    "platform"),
            "listen",
                Json.map("front", "127.0.0.1:" + front, "ready", "127.0.0.1:" + ready),
            "limits", Json.map("cpuShare", 0.51, "cores", 1, "memoryMb", 352, "maxFds", 2118),
            "faultTolerance", Json.map("machines", 2, "zones", 1, "regions", 0),
            "bounds",
                Json.map(
                    "contactMs", 4000, "ackMs", 5000, "drainMs", 7000, "graceS", 6, "lossSlackMs",
                    200, "configApplyMs", 3000, "rollbackSlackMs", 250, "outerMs", 12000,
                    "revokeStrict", true, "revokeMs", 5000, "quotaWindowS", 5, "quotaOverage", 0.1,
                    "quotaSlack", 20, "recoveryS", 12, "fenceChecked", false, "thawSlackMs", 300),
            "platform",
                Json.map(
                    "address", platform.storeAddress(), "form", "table", "writesPerS", 400,
                    "readsPerS", 2000, "txTimeoutMs", 4.0, "maxRowBytes", 65536, "across", true,
                    "historyS", 20),
            "cloudApi",
                Json.map(
                    "address", platform.cloudAddress(), "duties", List.of("promotion"), "dutyPerS",
                    50.0));
    // The template of the deploy file, except that each process needs its own port for metrics.
    String settings =
        Files.readString(Path.of("deploy/settings.yaml"))
            .replace("{{.|json}}", Json.write(host))
            .replace("7001", Integer.toString(freePort()));
    Path file = folder.resolve(name + ".json");
    Files.writeString(file, settings);
    List<String> command = new ArrayList<>(deployCommand());
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("PERSIMMONWALK_CONFIG", file.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(folder.resolve(name + ".log").toFile());
    return new EntryHost(name, front, ready, builder.start());
  }

  private static List<String> deployCommand() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("the deploy file has no run command");
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  String name() {
    return name;
  }

  int frontPort() {
    return frontPort;
  }

  Process process() {
    return process;
  }

  boolean isReady() {
    try {
      HttpURLConnection call =
          (HttpURLConnection)
              URI.create("http://127.0.0.1:" + readyPort + "/-/ready").toURL().openConnection();
      call.setConnectTimeout(500);
      call.setReadTimeout(500);
      return call.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  void awaitReady(long millis) throws Exception {
    long end = System.nanoTime() + millis * 1_000_000;
    while (!isReady()) {
      if (System.nanoTime() > end || !process.isAlive()) {
        throw new CannotRun(name + " did not become ready");
      }
      Thread.sleep(100);
    }
  }

  /** Sends SIGTERM, as the platform does to stop a process. */
  void terminate() {
    process.destroy();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

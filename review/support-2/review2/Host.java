package review2;

import java.io.IOException;
import java.net.BindException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** An entry host: a process with the command and the settings template of the deploy file. */
final class Host implements AutoCloseable {
  private static final int LOWEST_PORT = 15_000;
  private static final int HIGHEST_PORT = 32_000;
  private static final Random RANDOM = new Random();
  private static final Set<Integer> CHOSEN = new HashSet<>();

  final String name;
  final int front;
  final int ready;
  private final Process process;

  /**
   * Starts a host.
   *
   * @param platform the address of the store
   * @param cloud the address for POST /promotion
   * @param bounds the bounds of the settings, as JSON
   * @param zones the zones of the deployment
   */
  Host(
      String name,
      String zone,
      List<String> zones,
      String platform,
      String cloud,
      String bounds,
      Path folder)
      throws IOException {
    this.name = name;
    front = freePort();
    ready = freePort();
    int peer = freePort();
    StringBuilder zoneTable = new StringBuilder();
    for (String each : zones) {
      zoneTable.append(zoneTable.length() > 0 ? "," : "").append('"').append(each);
      zoneTable.append("\":\"fi-south\"");
    }
    String host =
        String.format(
            "{\"nodeName\":\"%s\",\"role\":\"entryhost\",\"machineClass\":\"front\","
                + "\"serves\":[\"front\"],\"ip\":\"127.0.0.1\",\"zone\":\"%s\","
                + "\"region\":\"fi-south\",\"zones\":{%s},"
                + "\"listen\":{\"front\":\"127.0.0.1:%d\",\"ready\":\"127.0.0.1:%d\"},"
                + "\"internalPorts\":[%d,%d],\"seeds\":[],\"bootstrap\":true,"
                + "\"limits\":{\"cpuShare\":0.51,\"cores\":1,\"memoryMb\":352,\"maxFds\":2118,"
                + "\"linkMbps\":490,\"diskMb\":0},\"heartbeatMs\":1200,"
                + "\"faultTolerance\":{\"machines\":2,\"zones\":1,\"regions\":0},\"bounds\":%s,"
                + "\"platform\":{\"address\":\"%s\",\"form\":\"table\",\"writesPerS\":400,"
                + "\"readsPerS\":2000,\"txTimeoutMs\":4.0,\"partitionWritesS\":250,"
                + "\"maxRowBytes\":65536,\"across\":true,\"historyS\":20},"
                + "\"cloudApi\":{\"address\":\"%s\",\"ratePerS\":50.0,"
                + "\"duties\":[\"promotion\"],\"dutyPerS\":50.0}}",
            name, zone, zoneTable, front, ready, peer, peer, bounds, platform, cloud);
    String template = Files.readString(Path.of("deploy/settings.yaml"));
    Path settings = folder.resolve(name + ".json");
    Files.writeString(
        settings,
        template.replace("7001", Integer.toString(freePort())).replace("{{.|json}}", host));
    String run =
        Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    ProcessBuilder builder =
        new ProcessBuilder(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
    builder.environment().put("PERSIMMONWALK_CONFIG", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(folder.resolve(name + ".log").toFile());
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }

  /** Returns a port that is free and that no outgoing connection is given. */
  static synchronized int freePort() throws IOException {
    for (int attempt = 0; attempt < 1000; attempt++) {
      int port = LOWEST_PORT + RANDOM.nextInt(HIGHEST_PORT - LOWEST_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (CHOSEN.add(socket.getLocalPort())) {
          return port;
        }
      } catch (BindException e) {
        // Another process has it.
      }
    }
    throw new IOException("no free port");
  }

  boolean isReady() {
    try {
      HttpURLConnection call =
          (HttpURLConnection)
              URI.create("http://127.0.0.1:" + ready + "/-/ready").toURL().openConnection();
      call.setConnectTimeout(500);
      call.setReadTimeout(500);
      return call.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean awaitReady() {
    for (int i = 0; i < 400; i++) {
      if (isReady()) {
        return true;
      }
      Store.sleep(50);
    }
    return false;
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  void terminate() {
    process.destroy();
  }

  void kill() {
    process.destroyForcibly();
  }

  void signal(String signal) throws IOException {
    new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().onExit().join();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

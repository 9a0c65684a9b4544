package review2;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An entry host: a process with the command and the settings template of the deploy file. */
final class Host implements AutoCloseable {
  final String name;
  final int front;
  final int ready;
  private final Process process;

  /**
   * Starts a host.
   *
   * @param bounds the bounds of the settings, as JSON
   * @param zones the zones of the deployment
   */
  Host(String name, String zone, List<String> zones, String platform, String bounds, Path folder)
      throws IOException {
    this.name = name;
    front = freePort();
    ready = freePort();
    int peer = freePort();
    StringBuilder zoneTable = new StringBuilder();
    zones.forEach(each -> zoneTable.append(zoneTable.length() > 0 ? "," : "").append("\"").append(each).append("\":\"fi-south\""));
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
            name, zone, zoneTable, front, ready, peer, peer, bounds, platform, platform);
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

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
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

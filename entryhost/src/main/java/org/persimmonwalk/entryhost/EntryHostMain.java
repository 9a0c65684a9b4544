package org.persimmonwalk.entryhost;

import java.nio.file.Path;
import java.time.Duration;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.persimmonwalk.internal.settings.Settings;
import org.persimmonwalk.internal.settings.SettingsReader;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;
import org.tinylog.Logger;

/** Starts an entry host from a settings file and drains it when the process is asked to stop. */
public final class EntryHostMain {
  private static final int EXIT_INVALID_INPUT = 2;

  /**
   * The control thread ends draining after 20 s at the latest; the rest allows for a busy machine.
   */
  private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(25);

  /** Wait before closing, so that the host can return its leases to the platform. */
  private static final Duration LEASE_RETURN_WAIT = Duration.ofSeconds(1);

  @Option(name = "--settings", metaVar = "FILE", usage = "the settings file", required = true)
  private Path settingsFile;

  @Option(name = "--check", usage = "check the settings file and exit")
  private boolean check;

  private EntryHostMain() {}

  /** Runs an entry host until the process is asked to stop. */
  public static void main(String[] arguments) {
    EntryHostMain main = new EntryHostMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(arguments);
      main.run();
    } catch (CmdLineException e) {
      System.err.println(ResultCode.COMMAND_LINE_INVALID.label() + ": " + e.getMessage());
      parser.printUsage(System.err);
      System.exit(EXIT_INVALID_INPUT);
    } catch (PersimmonwalkException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_INVALID_INPUT);
    }
  }

  private void run() {
    Settings settings = SettingsReader.create().read(settingsFile);
    if (check) {
      System.out.println("the settings are valid");
      return;
    }
    EntryHost host = EntryHost.start(settings, TrafficPolicies::standard, new TrafficListener() {});
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(host), "shutdown"));
    Logger.info("entry host {} listens on port {}", settings.host().id(), host.callerPort());
  }

  /** Drains the host, so that requests in progress can finish, and then closes it. */
  private static void stop(EntryHost host) {
    host.drain();
    try {
      if (!host.awaitStop(DRAIN_TIMEOUT)) {
        Logger.warn(
            "draining did not finish within {}; the remaining connections are closed",
            DRAIN_TIMEOUT);
      }
      Thread.sleep(LEASE_RETURN_WAIT.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    host.close();
  }
}

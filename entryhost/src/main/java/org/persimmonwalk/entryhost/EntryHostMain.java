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

/** The entry host process. */
public final class EntryHostMain {
  private static final int EXIT_INVALID = 2;

  /** The control thread ends draining after 20 s; the rest is slack for a busy machine. */
  private static final Duration LONGEST_DRAIN = Duration.ofSeconds(25);

  /** Time for the leases of a stopped host to be returned to the platform. */
  private static final Duration LEASE_RETURN = Duration.ofSeconds(1);

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
      System.exit(EXIT_INVALID);
    } catch (PersimmonwalkException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_INVALID);
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

  /** Drains the host, so that a planned stop cuts no request, and closes it. */
  private static void stop(EntryHost host) {
    host.drain();
    try {
      if (!host.awaitStop(LONGEST_DRAIN)) {
        Logger.warn("the stop did not end within {}; open connections are cut", LONGEST_DRAIN);
      }
      Thread.sleep(LEASE_RETURN.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    host.close();
  }
}

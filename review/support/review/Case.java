package review;

import java.io.IOException;
import java.nio.file.FileVisitOption;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs a case and turns its outcome into the exit status. */
abstract class Case {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  private final List<AutoCloseable> resources = new ArrayList<>();
  private Path folder;
  Trace trace;
  Platform platform;
  boolean trouble;

  /** Returns whether the rule held. */
  abstract boolean run() throws Exception;

  <T extends AutoCloseable> T use(T resource) {
    resources.add(resource);
    return resource;
  }

  EntryHost host(String name, String zone) throws IOException {
    return use(EntryHost.start(name, zone, platform, folder));
  }

  static void main(Case theCase, String[] arguments) throws IOException {
    Path record = Path.of(arguments[0]);
    theCase.trouble = !"0".equals(System.getenv("TROUBLE"));
    theCase.folder = Files.createTempDirectory("review");
    theCase.trace = new Trace(record);
    int status = COULD_NOT_RUN;
    Thread cleanup = new Thread(theCase::cleanUp);
    Runtime.getRuntime().addShutdownHook(cleanup);
    try {
      theCase.trace.say("disruption: %s", theCase.trouble ? "yes" : "no");
      theCase.platform = theCase.use(new Platform(theCase.trace));
      status = theCase.run() ? HELD : BROKEN;
    } catch (CannotRun e) {
      theCase.trace.say("could not run: %s", e.getMessage());
    } catch (Exception e) {
      theCase.trace.say("could not run: %s", e);
      e.printStackTrace();
    }
    theCase.trace.say("result: %s", status == HELD ? "held" : status == BROKEN ? "broken" : "none");
    System.exit(status);
  }

  private void cleanUp() {
    for (int i = resources.size() - 1; i >= 0; i--) {
      try {
        resources.get(i).close();
      } catch (Exception e) {
        System.err.println(e);
      }
    }
    if (System.getenv("KEEP") != null) {
      System.err.println("kept " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder, new FileVisitOption[0])) {
      files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    } catch (IOException e) {
      System.err.println(e);
    }
  }
}

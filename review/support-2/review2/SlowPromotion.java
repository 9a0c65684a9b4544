package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A planned replacement of the primary while the platform is slow to do what POST /promotion asks
 * for, and the chosen replica has no free slot for a moment.
 */
public final class SlowPromotion {
  private static final long SLOW_MILLIS = Long.getLong("slow", 3000);
  private static final long SLOW_FOR_MILLIS = 4500;
  private static final long BUSY_FROM_MILLIS = 1000;
  private static final long BUSY_UNTIL_MILLIS = 1700;

  private SlowPromotion() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status;
    try (Record record = new Record(Path.of(arguments[0]));
        Deployment deployment = new Deployment(record)) {
      status = run(deployment, record, trouble);
      record.write("result: %d", status);
    } catch (IOException e) {
      System.err.println("the case could not run: " + e);
      status = 2;
    }
    System.exit(status);
  }

  private static int run(Deployment deployment, Record record, boolean trouble)
      throws Exception {
    Host first = deployment.start("front-fi-south-a-1", Deployment.ZONES.get(0));
    Host second = deployment.start("front-fi-south-b-1", Deployment.ZONES.get(1));
    if (!first.awaitReady() || !second.awaitReady()) {
      return 2;
    }
    Writers writers = new Writers(record, List.of(first, second));
    // Longer than contactMs, so that both machines and the store are in touch and stable.
    Store.sleep(6000);
    AtomicLong firstOrderAt = new AtomicLong(-1);
    deployment.slowness =
        id -> {
          long now = Record.now();
          if (firstOrderAt.compareAndSet(-1, now)) {
            Backend chosen = deployment.group.backend(id);
            chosen.busyUntil = now + BUSY_UNTIL_MILLIS;
            chosen.busyFrom = now + BUSY_FROM_MILLIS;
          }
          return trouble && now < firstOrderAt.get() + SLOW_FOR_MILLIS ? SLOW_MILLIS : 0;
        };
    Backend old = deployment.group.leader();
    deployment.release(old);
    Store.sleep(18_000);
    writers.stop();
    if (deployment.group.leader() == old) {
      record.write("the primary was not replaced");
      return 2;
    }
    return writers.countAcknowledgedByDeposed(deployment.group) > 0 ? 1 : 0;
  }
}

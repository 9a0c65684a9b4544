package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A planned replacement of the primary while the store performs a write late: the row that
 * announces the replacement gets its time when it is sent, and comes into force when it is
 * performed.
 */
public final class LateAnnouncement {
  private static final long LATE_MILLIS = Long.getLong("late", 2500);
  private static final long REJECT_MILLIS = 6000;

  private LateAnnouncement() {}

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
    Store.sleep(5000);
    Backend oldest = deployment.group.leader();
    deployment.release(oldest);
    if (!deployment.awaitOtherLeader(oldest, 12_000)) {
      return 2;
    }
    Store.sleep(8000);
    oldest.leave();
    deployment.store.remove("servers", oldest.id);
    record.write("plan: %s has left", oldest.id);
    Store.sleep(5000);
    // The machine that did not order the first promotion is turned away during the second one.
    Host rejected = deployment.lastPromoter().equals(first.name) ? second : first;
    Faults faults = new Faults(record, rejected.name);
    if (trouble) {
      deployment.store.faults = faults;
    }
    Backend old = deployment.group.leader();
    deployment.release(old);
    Store.sleep(12_000);
    writers.stop();
    record.write(
        "store: %d of %d writing calls got no answer", faults.lost.get(), faults.calls.get());
    if (deployment.group.leader() == old) {
      record.write("the primary was not replaced");
      return 2;
    }
    int broken = writers.countAcknowledgedByDeposed(deployment.group);
    return broken > 0 ? 1 : 0;
  }

  /** The store's disturbances. */
  private static final class Faults implements Store.Faults {
    private final Record record;
    private final String rejected;
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicLong firstLostAt = new AtomicLong(-1);
    private final AtomicLong rejectsSince = new AtomicLong(-1);

    private Faults(Record record, String rejected) {
      this.record = record;
      this.rejected = rejected;
    }

    @Override
    public long lateMillis() {
      return LATE_MILLIS;
    }

    @Override
    public synchronized Store.Fate fate(String machine, String path, Map<String, Object> body) {
      long now = Record.now();
      long first = firstLostAt.get();
      if (machine.equals(rejected) && rejectsSince.get() < 0 && first >= 0 && now >= first + LATE_MILLIS) {
        rejectsSince.set(now);
        record.write("store: turns %s away from now on", machine);
      }
      long since = rejectsSince.get();
      if (machine.equals(rejected) && since >= 0 && now >= since && now < since + REJECT_MILLIS) {
        return Store.Fate.BUSY;
      }
      if (!path.equals("/-/rows-tx")) {
        return Store.Fate.SERVE;
      }
      boolean isOver = first >= 0 && now > first + LATE_MILLIS;
      if (!isOver) {
        calls.incrementAndGet();
      }
      boolean announces = Store.written(body, "leadership").contains("SWITCHING");
      if (announces && !isOver) {
        firstLostAt.compareAndSet(-1, now);
        lost.incrementAndGet();
        record.write(
            "store: leaves a call of %s unanswered: %s",
            machine, Store.written(body, "leadership"));
        return Store.Fate.LOSE_AND_PERFORM_LATE;
      }
      // The machine is turned away right after a call that was served.
      if (machine.equals(rejected) && since < 0 && first >= 0 && now > first + LATE_MILLIS - 600) {
        rejectsSince.set(now + 1);
        record.write("store: turns %s away from now on", machine);
      }
      return Store.Fate.SERVE;
    }
  }
}

package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A planned replacement of the primary in which the machine that orders the promotion is cut off
 * from the promotion service and freezes when it has sent the order.
 */
public final class FrozenOrder {
  private static final long LONGEST_FREEZE_MILLIS = 4000;

  private FrozenOrder() {}

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
    Host[] hosts = new Host[2];
    HeldLink[] links = new HeldLink[2];
    for (int i = 0; i < hosts.length; i++) {
      String zone = Deployment.ZONES.get(i);
      String name = "front-" + zone + "-1";
      String platform = deployment.store.open(name);
      links[i] = new HeldLink(platform);
      hosts[i] = deployment.start(name, zone, platform, links[i].address());
    }
    for (Host host : hosts) {
      if (!host.awaitReady()) {
        return 2;
      }
    }
    Writers writers = new Writers(record, List.of(hosts));
    // Longer than contactMs, so that both machines and the store are in touch and stable.
    Store.sleep(6000);
    AtomicReference<Host> frozen = new AtomicReference<>();
    AtomicLong frozenAt = new AtomicLong();
    if (trouble) {
      for (int i = 0; i < hosts.length; i++) {
        Host host = hosts[i];
        HeldLink own = links[i];
        HeldLink other = links[1 - i];
        own.cut(
            () -> {
              if (frozenAt.compareAndSet(0, Record.now())) {
                stop(host, record);
                frozen.set(host);
                other.heal();
              }
            });
      }
    }
    Backend old = deployment.group.leader();
    deployment.release(old);
    if (trouble) {
      // The cut ends once the other machine has ordered the promotion, or after the freeze.
      long end = Record.now() + 20_000;
      while (Record.now() < end
          && (deployment.lastPromoter().isEmpty()
              && (frozen.get() == null
                  || Record.now() < frozenAt.get() + LONGEST_FREEZE_MILLIS - 30))) {
        Store.sleep(5);
      }
      if (frozen.get() == null) {
        return 2;
      }
      Store.sleep(20);
      for (HeldLink link : links) {
        link.heal();
      }
      record.write("the cut ends %d ms after the freeze began", Record.now() - frozenAt.get());
      Store.sleep(100);
      frozen.get().signal("-CONT");
      record.write(
          "%s goes on after %d ms", frozen.get().name, Record.now() - frozenAt.get());
    }
    Store.sleep(12_000);
    writers.stop();
    if (deployment.group.leader() == old) {
      record.write("the primary was not replaced");
      return 2;
    }
    writers.countAcknowledgedByDeposed(deployment.group);
    System.out.println(deployment.lowerFences() + " orders with a lower fence number");
    return deployment.lowerFences() > 0 ? 1 : 0;
  }

  private static void stop(Host host, Record record) {
    try {
      host.signal("-STOP");
      record.write("%s freezes", host.name);
    } catch (IOException e) {
      record.write("not frozen: %s", e.getMessage());
    }
  }
}

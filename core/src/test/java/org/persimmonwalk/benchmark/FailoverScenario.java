package org.persimmonwalk.benchmark;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.persimmonwalk.command.FenceServer;
import org.persimmonwalk.command.PromoteServer;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FailoverFleet;
import org.persimmonwalk.testing.FailoverHost;
import org.persimmonwalk.testing.FakeLinks;

/** The faults of one benchmark run. */
enum FailoverScenario {
  STORE_UP("primary stops, store up", true) {
    @Override
    void begin(FailoverFleet fleet, RandomSource random) {
      fleet.database().stop("a");
    }
  },
  PRIMARY_ISOLATED("primary and one host cut off from all others, store up", true) {
    @Override
    void begin(FailoverFleet fleet, RandomSource random) {
      cutOffWithPrimary(fleet);
    }
  },
  STORE_DOWN("primary stops, store gives no answer", true) {
    @Override
    void begin(FailoverFleet fleet, RandomSource random) {
      fleet.links().isolate(FakeLinks.PLATFORM);
      fleet.database().stop("a");
    }
  },
  PROMOTER_DIES("primary stops, promoter dies in the middle, store up", true) {
    @Override
    void begin(FailoverFleet fleet, RandomSource random) {
      killPromoters(fleet, random, 1);
      fleet.database().stop("a");
    }
  },
  STORE_DOWN_PROMOTER_DIES(
      "primary stops, promoter dies in the middle, store gives no answer", true) {
    @Override
    void begin(FailoverFleet fleet, RandomSource random) {
      fleet.links().isolate(FakeLinks.PLATFORM);
      killPromoters(fleet, random, 1);
      fleet.database().stop("a");
    }
  },
  EVERYTHING(
      "primary cut off, two promoters die in turn, answers lost, store gives no answer", true) {
    @Override
    void begin(FailoverFleet fleet, RandomSource random) {
      fleet.links().isolate(FakeLinks.PLATFORM);
      killPromoters(fleet, random, 2);
      fleet.hosts().forEach(host -> host.loseAnswers(FenceServer.class, 1));
      cutOffWithPrimary(fleet);
    }
  },
  SLOW_LINKS("no fault but slow links of one or two hosts to the primary", false) {
    @Override
    void begin(FailoverFleet fleet, RandomSource random) {
      for (int count = random.nextInt(2); count >= 0; count--) {
        String host = fleet.hosts().get(random.nextInt(fleet.hosts().size())).id().value();
        fleet.links().slow(host, "a", Duration.ofMillis(200 + random.nextInt(4000)));
      }
    }
  };

  private final String description;
  private final boolean failing;

  FailoverScenario(String description, boolean failing) {
    this.description = description;
    this.failing = failing;
  }

  String description() {
    return description;
  }

  /** Returns whether a promotion is needed. */
  boolean isFailing() {
    return failing;
  }

  abstract void begin(FailoverFleet fleet, RandomSource random);

  private static void cutOffWithPrimary(FailoverFleet fleet) {
    String inside = fleet.hosts().get(0).id().value();
    fleet.links().cut("a", "b");
    fleet.links().cut("a", "c");
    fleet.links().cut(inside, "b");
    fleet.links().cut(inside, "c");
    fleet.hosts().stream().skip(1).forEach(host -> fleet.links().cut(host.id().value(), "a"));
  }

  /** Stops promoting hosts after a part of their fences or before they promote. */
  private static void killPromoters(FailoverFleet fleet, RandomSource random, int count) {
    AtomicInteger remaining = new AtomicInteger(count);
    int fences = random.nextInt(3);
    for (FailoverHost host : fleet.hosts()) {
      AtomicInteger sent = new AtomicInteger();
      host.onCommand(
          command -> {
            boolean middle =
                command instanceof PromoteServer
                    || command instanceof FenceServer && sent.incrementAndGet() > fences + 1;
            if (middle && remaining.get() > 0) {
              remaining.decrementAndGet();
              host.die();
            }
          });
    }
  }
}

package org.persimmonwalk.benchmark;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.persimmonwalk.command.FenceServer;
import org.persimmonwalk.command.PromoteServer;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FailoverFleet;
import org.persimmonwalk.testing.FailoverHost;
import org.persimmonwalk.testing.FakeLinks;

/** The faults that {@link FailoverBenchmark} injects in one run. */
enum FailoverScenario {
  PRIMARY_STOPS("primary stops, store up", true) {
    @Override
    void injectFaults(FailoverFleet fleet, RandomSource random) {
      fleet.database().stop("a");
    }
  },
  PRIMARY_ISOLATED("primary and one host cut off from all others, store up", true) {
    @Override
    void injectFaults(FailoverFleet fleet, RandomSource random) {
      isolatePrimaryAndOneHost(fleet);
    }
  },
  PRIMARY_STOPS_STORE_DOWN("primary stops, store gives no answer", true) {
    @Override
    void injectFaults(FailoverFleet fleet, RandomSource random) {
      fleet.links().isolate(FakeLinks.PLATFORM);
      fleet.database().stop("a");
    }
  },
  PROMOTER_DIES("primary stops, promoter dies during the promotion, store up", true) {
    @Override
    void injectFaults(FailoverFleet fleet, RandomSource random) {
      killPromoters(fleet, random, 1);
      fleet.database().stop("a");
    }
  },
  PROMOTER_DIES_STORE_DOWN(
      "primary stops, promoter dies during the promotion, store gives no answer", true) {
    @Override
    void injectFaults(FailoverFleet fleet, RandomSource random) {
      fleet.links().isolate(FakeLinks.PLATFORM);
      killPromoters(fleet, random, 1);
      fleet.database().stop("a");
    }
  },
  COMBINED_FAULTS(
      "primary cut off, two promoters die in turn, answers lost, store gives no answer", true) {
    @Override
    void injectFaults(FailoverFleet fleet, RandomSource random) {
      fleet.links().isolate(FakeLinks.PLATFORM);
      killPromoters(fleet, random, 2);
      fleet.hosts().forEach(host -> host.loseAnswers(FenceServer.class, 1));
      isolatePrimaryAndOneHost(fleet);
    }
  },
  SLOW_LINKS("no fault but slow links of one or two hosts to the primary", false) {
    @Override
    void injectFaults(FailoverFleet fleet, RandomSource random) {
      for (int count = random.nextInt(2); count >= 0; count--) {
        String host = fleet.hosts().get(random.nextInt(fleet.hosts().size())).id().value();
        fleet.links().setLatency(host, "a", Duration.ofMillis(200 + random.nextInt(4000)));
      }
    }
  };

  private final String description;
  private final boolean requiresPromotion;

  FailoverScenario(String description, boolean requiresPromotion) {
    this.description = description;
    this.requiresPromotion = requiresPromotion;
  }

  String description() {
    return description;
  }

  /** Returns whether writes can only resume after a promotion. */
  boolean requiresPromotion() {
    return requiresPromotion;
  }

  abstract void injectFaults(FailoverFleet fleet, RandomSource random);

  private static void isolatePrimaryAndOneHost(FailoverFleet fleet) {
    String isolatedHost = fleet.hosts().get(0).id().value();
    fleet.links().cut("a", "b");
    fleet.links().cut("a", "c");
    fleet.links().cut(isolatedHost, "b");
    fleet.links().cut(isolatedHost, "c");
    fleet.hosts().stream().skip(1).forEach(host -> fleet.links().cut(host.id().value(), "a"));
  }

  /**
   * Kills the first hosts that promote, up to the given number. Each dies after one to three fence
   * commands, and at the latest before its promote command.
   */
  private static void killPromoters(FailoverFleet fleet, RandomSource random, int count) {
    AtomicInteger remaining = new AtomicInteger(count);
    int fences = random.nextInt(3);
    for (FailoverHost host : fleet.hosts()) {
      AtomicInteger sent = new AtomicInteger();
      host.onCommand(
          command -> {
            boolean promotionStarted =
                command instanceof PromoteServer
                    || command instanceof FenceServer && sent.incrementAndGet() > fences + 1;
            if (promotionStarted && remaining.get() > 0) {
              remaining.decrementAndGet();
              host.die();
            }
          });
    }
  }
}

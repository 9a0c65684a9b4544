package org.persimmonwalk.internal.engine.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.engine.TermPosition;
import org.persimmonwalk.engine.control.OrderPromotion;
import org.persimmonwalk.engine.control.ServerSilent;
import org.persimmonwalk.engine.control.ServerStatusRead;
import org.persimmonwalk.engine.testing.EngineFixture;
import org.persimmonwalk.engine.testing.FakeCaller;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.engine.traffic.Session;
import org.persimmonwalk.model.MonotonicTime;

/**
 * Plays drawn schedules of faults and checks what must hold after every step. The system property
 * {@code persimmonwalk.schedules} plays more seeds than the fixed ones.
 */
class EngineScheduleTest {
  private static final int HOSTS = 5;
  private static final double RATE = 12;
  private static final Duration STEP = Duration.ofMillis(100);
  private static final Duration LENGTH = Duration.ofSeconds(24);
  private static final Duration REVOCATION = Duration.ofSeconds(5);

  /** Window, overage and slack of the fixture's settings. */
  private static final double MOST_IN_WINDOW = (RATE * 5 + RATE) * 1.1 + 20;

  private static final Duration WINDOW = Duration.ofSeconds(5);

  /** The callers of the schedules rest for 4 s and then send for 4 s. */
  private static final long STEPS_OF_REST = 40;

  /** Guards against a limit, a key, a primary or a fence number that a mix of faults breaks. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void shouldKeepTheInvariantsUnderFaults(long seed) {
    play(seed);
  }

  /** Plays as many further seeds as the system property says. */
  @ParameterizedTest
  @ValueSource(longs = 1000)
  void shouldKeepTheInvariantsUnderFurtherFaults(long first) {
    int count = Integer.getInteger("persimmonwalk.schedules", 1);
    for (long seed = first; seed < first + count; seed++) {
      play(seed);
    }
  }

  private static void play(long seed) {
    new Schedule(seed).play();
  }

  /** One schedule. */
  private static final class Schedule {
    private final long seed;
    private final SplittableRandom random;
    private final EngineFixture fixture = new EngineFixture(HOSTS);
    private final List<Session> sessions = new ArrayList<>();
    private final List<MonotonicTime> admitted = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private MonotonicTime withdrawnAt;
    private long version = 2;

    private Schedule(long seed) {
      this.seed = seed;
      this.random = new SplittableRandom(seed);
    }

    private void play() {
      fixture.statuses.put(
          BackendServerId.of("s2"), new ServerStatusRead.Status(false, 3, TermPosition.of(3, 100)));
      fixture.statuses.put(
          BackendServerId.of("s3"), new ServerStatusRead.Status(false, 3, TermPosition.of(3, 101)));
      publish(Map.of(KeyHash.ofKey(EngineFixture.KEY), EngineFixture.WORKSPACE));
      fixture.run(Duration.ofSeconds(3));
      fixture.servers.behave(
          sent -> {
            check(sent.server(), sent.statement().id());
            return fixture.servers.success(sent);
          });
      for (Engine host : fixture.hosts) {
        sessions.add(fixture.open(host, RouteKind.PRIMARY, new FakeCaller()));
      }
      long steps = LENGTH.toMillis() / STEP.toMillis();
      for (long step = 0; step < steps; step++) {
        if (step == steps / 2) {
          publish(Map.of());
          withdrawnAt = fixture.clock.now();
        }
        disturb();
        operate(step);
        fixture.run(STEP);
      }
      checkFences();
      assertThat(broken).as("broken rules with seed %d", seed).isEmpty();
    }

    private void publish(Map<KeyHash, WorkspaceId> keys) {
      fixture.publish(EngineFixture.configuration(version++, RATE, keys));
    }

    /** Bursts after rests find full buckets and full holdings. */
    private void operate(long step) {
      if (step / STEPS_OF_REST % 2 == 0) {
        return;
      }
      for (Session session : sessions) {
        int count = random.nextInt(3);
        for (int i = 0; i < count; i++) {
          String id = "q" + step;
          session.receive(RequestId.of(id), new Statement.Data(random.nextBoolean(), "X"));
        }
      }
    }

    private void disturb() {
      Engine host = fixture.hosts.get(random.nextInt(fixture.hosts.size()));
      switch (random.nextInt(90)) {
        case 0, 1, 2 -> fixture.cutOff(host, true);
        case 3 -> fixture.hosts.forEach(each -> fixture.cutOff(each, false));
        case 4 -> fixture.freeze(host, true);
        case 5 -> fixture.hosts.forEach(each -> fixture.freeze(each, false));
        case 6 -> fixture.storeIsUp = false;
        case 7, 8 -> fixture.storeIsUp = true;
        case 9 -> fixture.peersAreReachable = !fixture.peersAreReachable;
        case 10 -> fixture.answersToLose += 3;
        case 14, 15 -> fixture.effectsToDelay += 2;
        case 16 -> restart(host);
        case 11 -> fixture.stepTimeOfDay(Duration.ofSeconds(random.nextInt(-3, 9)));
        case 12, 13 -> reportSilence();
        default -> {}
      }
    }

    /** The sessions of the last process end; the new one opens one when it has a configuration. */
    private void restart(Engine host) {
      int index = fixture.hosts.indexOf(host);
      sessions.get(index).ended();
      Engine started = fixture.restart(host);
      started
          .sessions()
          .open(
              new FakeCaller(),
              DatabaseName.of(RouteKind.PRIMARY.name()),
              Optional.of(KeyHash.ofKey(EngineFixture.KEY)),
              session -> sessions.set(index, session));
    }

    private void reportSilence() {
      ServerEntry primary = fixture.entries.get(leader());
      fixture.hosts.forEach(host -> host.loop().post(new ServerSilent(primary)));
    }

    private BackendServerId leader() {
      List<OrderPromotion> promotions = fixture.promotions;
      return promotions.isEmpty()
          ? BackendServerId.of("s1")
          : promotions.get(promotions.size() - 1).server().id();
    }

    private void check(BackendServerId server, RequestId id) {
      if (id.equals(RequestId.OWN)) {
        return;
      }
      MonotonicTime now = fixture.clock.now();
      admitted.add(now);
      long inWindow = admitted.stream().filter(at -> now.since(at).compareTo(WINDOW) <= 0).count();
      if (inWindow > MOST_IN_WINDOW) {
        broken.add("limit: " + inWindow + " operations in 5 s");
      }
      if (withdrawnAt != null && now.since(withdrawnAt).compareTo(REVOCATION) > 0) {
        broken.add("key: used " + now.since(withdrawnAt) + " after its withdrawal");
      }
      if (!server.equals(leader())) {
        broken.add("primary: " + server + " used after the promotion of " + leader());
      }
    }

    /** A fence number belongs to one holder and never falls. */
    private void checkFences() {
      for (int i = 1; i < fixture.promotions.size(); i++) {
        OrderPromotion earlier = fixture.promotions.get(i - 1);
        OrderPromotion later = fixture.promotions.get(i);
        boolean same = earlier.fence() == later.fence();
        if (later.fence() < earlier.fence() || (same && !earlier.holder().equals(later.holder()))) {
          broken.add("fence: " + later + " after " + earlier);
        }
      }
    }
  }
}

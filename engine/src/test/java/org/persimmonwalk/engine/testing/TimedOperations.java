package org.persimmonwalk.engine.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.persimmonwalk.engine.Engine;
import org.persimmonwalk.engine.Failure;
import org.persimmonwalk.engine.RequestId;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.Statement;
import org.persimmonwalk.internal.engine.traffic.Session;
import org.persimmonwalk.model.MonotonicTime;

/** Operations of sessions of their own, and how long after their arrival each is answered. */
public final class TimedOperations {
  /** The statement timeout of the fixture's routes. */
  public static final Duration DEADLINE = Duration.ofMillis(800);

  private final EngineFixture fixture;
  private final List<Duration> ages = new ArrayList<>();
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private Duration suspended = Duration.ZERO;
  private int sent;

  public TimedOperations(EngineFixture fixture) {
    this.fixture = fixture;
  }

  /** Sends statements one after the other in a new session, without waiting for the answers. */
  public void send(Engine host, RouteKind kind, Statement... statements) {
    FakeCaller caller = new FakeCaller();
    Session session = fixture.open(host, kind, caller);
    MonotonicTime arrivedAt = fixture.clock.now();
    Duration suspendedBefore = suspended;
    caller.onAnswer(
        () -> {
          Duration stood = suspended.minus(suspendedBefore);
          ages.add(fixture.clock.now().since(arrivedAt).plus(stood));
          Optional<Failure> failure = caller.last().failure();
          outcomes.merge(
              failure.map(known -> known.code() + " " + known.detail()).orElse("done"),
              1,
              Integer::sum);
        });
    for (Statement statement : statements) {
      session.receive(RequestId.of("t" + sent++), statement);
    }
  }

  /** Suspends all hosts for the given time, during which their monotonic clocks stand still. */
  public void suspend(Duration duration) {
    suspended = suspended.plus(duration);
    fixture.stepWallClock(duration);
  }

  /** Returns how many operations have no answer yet. */
  public int unanswered() {
    return sent - ages.size();
  }

  /** Returns how many operations were answered later than their deadline. */
  public long late() {
    return laterThan(DEADLINE);
  }

  /** Returns how many operations were answered later than the given time after their arrival. */
  public long laterThan(Duration age) {
    return ages.stream().filter(taken -> taken.compareTo(age) > 0).count();
  }

  /** Returns how many operations were answered with a text that contains the given one. */
  public int ended(String text) {
    return outcomes.entrySet().stream()
        .filter(outcome -> outcome.getKey().contains(text))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  /** Returns the counts in one line. */
  public String summary() {
    return "sent " + sent + ", late " + late() + ", ages " + ages + ", outcomes " + outcomes;
  }
}

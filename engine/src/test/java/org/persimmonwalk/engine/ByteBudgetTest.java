package org.persimmonwalk.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which connection is closed when the bytes of a host are spent, and what stays in use. */
class ByteBudgetTest {
  private static final int KILOBYTE = 1024;

  private final ByteBudget budget = ByteBudget.of(1000 * KILOBYTE);
  private final List<String> shed = new ArrayList<>();

  private ByteBudget.Account open(String name) {
    return budget.open(bytes -> shed.add(name + " " + bytes / KILOBYTE));
  }

  /** Guards against a budget in which the connection that happens to allocate next is closed. */
  @Test
  void shouldCloseTheLargestConnection() {
    ByteBudget.Account first = open("first");
    ByteBudget.Account largest = open("largest");
    ByteBudget.Account last = open("last");
    first.add(200 * KILOBYTE);
    largest.add(400 * KILOBYTE);

    assertThat(last.add(200 * KILOBYTE)).isTrue();
    assertThat(shed).containsExactly("largest 400");
    assertThat(largest.add(1)).isFalse();
    assertThat(budget.used()).isEqualTo(400 * KILOBYTE);
  }

  /** Guards against large messages that leave nothing for ordinary ones. */
  @Test
  void shouldKeepAPartForSmallConnections() {
    ByteBudget.Account large = open("large");
    large.add(740 * KILOBYTE);
    ByteBudget.Account small = open("small");

    assertThat(small.add(30 * KILOBYTE)).isTrue();
    assertThat(shed).isEmpty();
    assertThat(large.add(1 * KILOBYTE)).isFalse();
    assertThat(shed).containsExactly("large 741");
  }

  /** Guards against a budget that is exceeded by a single connection. */
  @Test
  void shouldCloseTheOnlyConnection() {
    ByteBudget.Account only = open("only");

    assertThat(only.add(800 * KILOBYTE)).isFalse();
    assertThat(budget.used()).isZero();
  }

  /** Guards against closing connections whose end frees nothing, because their statement runs. */
  @Test
  void shouldNotCloseForBytesThatOutlastTheConnection() {
    ByteBudget.Account running = open("running");
    running.add(600 * KILOBYTE);
    running.pin(600 * KILOBYTE);
    ByteBudget.Account next = open("next");

    assertThat(next.add(200 * KILOBYTE)).isFalse();
    assertThat(shed).containsExactly("next 200");
    assertThat(budget.used()).isEqualTo(600 * KILOBYTE);
  }

  /** Guards against statements that run on, uncounted, when their callers disconnect. */
  @Test
  void shouldCountARunningStatementAfterItsConnection() {
    ByteBudget.Account running = open("running");
    running.add(500 * KILOBYTE);
    running.pin(300 * KILOBYTE);

    running.close();
    running.remove(500 * KILOBYTE);
    assertThat(budget.used()).isEqualTo(300 * KILOBYTE);

    running.unpin();
    running.unpin();
    assertThat(budget.used()).isZero();
  }

  /** Guards against callers that keep a host from its control work. */
  @Test
  void shouldCloseConnectionsForControlWork() {
    ByteBudget.Account small = open("small");
    small.add(100 * KILOBYTE);
    ByteBudget.Account large = open("large");
    large.add(600 * KILOBYTE);
    ByteBudget.ControlAccount control = budget.openForControl();

    assertThat(control.add(400 * KILOBYTE)).isTrue();
    assertThat(shed).containsExactly("large 600");
    assertThat(open("next").add(400 * KILOBYTE)).isFalse();
    assertThat(shed).containsExactly("large 600", "next 400");

    control.remove(100 * KILOBYTE);
    control.close();
    assertThat(budget.used()).isEqualTo(100 * KILOBYTE);
  }

  /** Guards against closing connections for an answer that does not fit even then. */
  @Test
  void shouldCloseNoConnectionForControlWorkWithoutRoom() {
    open("caller").add(300 * KILOBYTE);
    ByteBudget.ControlAccount control = budget.openForControl();

    assertThat(control.add(1001 * KILOBYTE)).isFalse();
    assertThat(shed).isEmpty();
    assertThat(budget.used()).isEqualTo(300 * KILOBYTE);
  }

  /** Guards against running statements, which cannot be closed, that stop the control work. */
  @Test
  void shouldReserveAPartForControlWork() {
    ByteBudget.Account running = open("running");
    running.add(700 * KILOBYTE);
    running.pin(700 * KILOBYTE);
    ByteBudget.ControlAccount control = budget.openForControl();

    assertThat(control.add(250 * KILOBYTE)).isTrue();
    assertThat(control.add(51 * KILOBYTE)).isFalse();
    assertThat(shed).isEmpty();
  }

  /** Guards against a budget that leaks what was removed or closed. */
  @Test
  void shouldReturnToZero() {
    ByteBudget.Account first = open("first");
    ByteBudget.Account second = open("second");
    for (int i = 0; i < 100; i++) {
      first.add(600 * KILOBYTE);
      first.remove(600 * KILOBYTE);
    }
    second.add(10 * KILOBYTE);
    second.close();

    assertThat(shed).isEmpty();
    assertThat(budget.used()).isZero();
  }
}

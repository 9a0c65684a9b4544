package org.persimmonwalk.admission;

import java.time.Duration;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.routing.StatementKind;

/** Creates requests and records service times for tests; the payload is a label. */
final class Requests {
  static final MonotonicTime START = MonotonicTime.of(0);

  private Requests() {}

  static QueuedRequest<String> of(String workspace, Urgency urgency, String label) {
    return of(workspace, urgency, label, Duration.ofMinutes(10));
  }

  static QueuedRequest<String> of(
      String workspace, Urgency urgency, String label, Duration deadline) {
    return new QueuedRequest<>(
        label, WorkspaceId.of(workspace), StatementKind.READ, urgency, START.plus(deadline));
  }

  static void measure(ServiceTimes times, String workspace, Urgency urgency, int milliseconds) {
    times.record(of(workspace, urgency, "measured"), Duration.ofMillis(milliseconds), START);
  }
}

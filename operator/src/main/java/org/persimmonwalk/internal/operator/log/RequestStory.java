package org.persimmonwalk.internal.operator.log;

import java.time.Duration;
import java.time.LocalTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.persimmonwalk.engine.FailureCode;

/**
 * The lines about one request and, around them, what the hosts came to believe of the workspace,
 * the database group and the servers that it names.
 *
 * @param lines in the order of their times; clocks of hosts may differ slightly
 * @param codes the failure codes that the request got
 */
public record RequestStory(List<LogLine> lines, List<FailureCode> codes) {
  /** A belief that decides a request is at most as old as the longest validity, 5 s. */
  private static final Duration BEFORE = Duration.ofSeconds(6);

  /** What follows from the same cause is seen at other hosts within about a second. */
  private static final Duration AFTER = Duration.ofSeconds(1);

  private static final Set<String> HOST_EVENTS =
      Set.of(
          "started",
          "stopping",
          "stopped",
          "reload",
          "store-lost",
          "store-regained",
          "keys-unverified",
          "keys-verified",
          "configuration-accepted",
          "relay-changed",
          "relay-lost",
          "relay-regained");

  private static final List<String> SUBJECTS = List.of("workspace", "group", "server");

  /** Makes the lists immutable. */
  public RequestStory {
    lines = List.copyOf(lines);
    codes = List.copyOf(codes);
  }

  /** Returns the story of a request; it has no lines if no line names the request. */
  public static RequestStory of(String request, List<LogLine> all) {
    List<LogLine> own =
        all.stream()
            .filter(line -> line.field("request").filter(request::equals).isPresent())
            .toList();
    if (own.isEmpty()) {
      return new RequestStory(List.of(), List.of());
    }
    LocalTime first = own.stream().map(LogLine::time).min(Comparator.naturalOrder()).orElseThrow();
    LocalTime last = own.stream().map(LogLine::time).max(Comparator.naturalOrder()).orElseThrow();
    Set<String> hosts = new HashSet<>();
    own.forEach(line -> hosts.add(line.source()));
    List<LogLine> lines = new ArrayList<>(own);
    all.stream()
        .filter(line -> line.field("request").isEmpty())
        .filter(line -> !line.time().isBefore(first.minus(BEFORE)))
        .filter(line -> !line.time().isAfter(last.plus(AFTER)))
        .filter(line -> concerns(line, own, hosts))
        .forEach(lines::add);
    lines.sort(Comparator.comparing(LogLine::time));
    List<FailureCode> codes =
        own.stream()
            .map(line -> line.field("code").flatMap(FailureCode::named))
            .flatMap(Optional::stream)
            .distinct()
            .toList();
    return new RequestStory(lines, codes);
  }

  private static boolean concerns(LogLine line, List<LogLine> own, Set<String> hosts) {
    if (HOST_EVENTS.contains(line.event())) {
      return hosts.contains(line.source());
    }
    return SUBJECTS.stream()
        .flatMap(subject -> line.field(subject).stream())
        .anyMatch(value -> own.stream().anyMatch(request -> request.names(value)));
  }
}

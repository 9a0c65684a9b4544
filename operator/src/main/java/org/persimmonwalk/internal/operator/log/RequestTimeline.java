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
 * The log lines of one request together with the lines, logged shortly before and after, about the
 * workspace, the database group and the servers that they mention, or about the hosts of the
 * request as a whole. The surrounding lines show what the hosts knew when the request failed.
 *
 * @param lines the lines in order of time; the clocks of the hosts may differ slightly
 * @param codes the failure codes in the lines of the request, without duplicates
 */
public record RequestTimeline(List<LogLine> lines, List<FailureCode> codes) {
  /** A decision on a request uses state that is no older than the longest validity, 5 s. */
  private static final Duration BEFORE = Duration.ofSeconds(6);

  /** Other hosts log further effects of the same cause within about one second. */
  private static final Duration AFTER = Duration.ofSeconds(1);

  /** Events of a host as a whole; included if the host has logged a line of the request. */
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

  /** A line of any host is included if the request mentions its value of one of these fields. */
  private static final List<String> SUBJECT_FIELDS = List.of("workspace", "group", "server");

  /** Copies the lists. */
  public RequestTimeline {
    lines = List.copyOf(lines);
    codes = List.copyOf(codes);
  }

  /** Returns the timeline of a request; it is empty if no line has the id of the request. */
  public static RequestTimeline of(String request, List<LogLine> all) {
    List<LogLine> requestLines =
        all.stream()
            .filter(line -> line.field("request").filter(request::equals).isPresent())
            .toList();
    if (requestLines.isEmpty()) {
      return new RequestTimeline(List.of(), List.of());
    }
    LocalTime first =
        requestLines.stream().map(LogLine::time).min(Comparator.naturalOrder()).orElseThrow();
    LocalTime last =
        requestLines.stream().map(LogLine::time).max(Comparator.naturalOrder()).orElseThrow();
    Set<String> hosts = new HashSet<>();
    requestLines.forEach(line -> hosts.add(line.source()));
    List<LogLine> lines = new ArrayList<>(requestLines);
    all.stream()
        .filter(line -> line.field("request").isEmpty())
        .filter(line -> !line.time().isBefore(first.minus(BEFORE)))
        .filter(line -> !line.time().isAfter(last.plus(AFTER)))
        .filter(line -> isRelated(line, requestLines, hosts))
        .forEach(lines::add);
    lines.sort(Comparator.comparing(LogLine::time));
    List<FailureCode> codes =
        requestLines.stream()
            .map(line -> line.field("code").flatMap(FailureCode::named))
            .flatMap(Optional::stream)
            .distinct()
            .toList();
    return new RequestTimeline(lines, codes);
  }

  private static boolean isRelated(LogLine line, List<LogLine> requestLines, Set<String> hosts) {
    if (HOST_EVENTS.contains(line.event())) {
      return hosts.contains(line.source());
    }
    return SUBJECT_FIELDS.stream()
        .flatMap(field -> line.field(field).stream())
        .anyMatch(value -> requestLines.stream().anyMatch(own -> own.mentions(value)));
  }
}

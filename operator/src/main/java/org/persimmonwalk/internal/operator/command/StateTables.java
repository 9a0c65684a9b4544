package org.persimmonwalk.internal.operator.command;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collector;
import java.util.stream.Collectors;
import org.persimmonwalk.internal.operator.fleet.FleetView;
import org.persimmonwalk.internal.operator.fleet.HostPollResult;
import org.persimmonwalk.internal.operator.fleet.HostReport;
import org.persimmonwalk.internal.operator.output.Table;

/** The tables of {@link StateCommand}; ages are in milliseconds, rates in statements per second. */
final class StateTables {

  private StateTables() {}

  /** One row for each host that reported its state. */
  static Table hosts(FleetView view) {
    Table table = Table.of("endpoint", "host", "zone", "phase", "revision", "freshness_ms");
    for (var entry : view.results().entrySet()) {
      if (entry.getValue() instanceof HostPollResult.Reported reported) {
        HostReport report = reported.report();
        table =
            table.withRow(
                entry.getKey().toString(),
                report.host().value(),
                report.zone().value(),
                report.phase().name(),
                report.revision().number(),
                milliseconds(report.freshnessAge()));
      }
    }
    return table;
  }

  /**
   * One row for each distinct combination of group, term and primary, so that a disagreement
   * between hosts is visible. The confirmed age is the highest that a host reports.
   */
  static Table groups(FleetView view) {
    Table table = Table.of("group", "term", "primary", "hosts", "confirmed_ms");
    Map<String, List<HostReport.Group>> byView =
        view.reports().stream()
            .flatMap(report -> report.groups().stream())
            .collect(grouping(group -> group.id() + " " + group.term() + " " + group.primary()));
    for (List<HostReport.Group> same : byView.values()) {
      HostReport.Group first = same.get(0);
      Optional<Duration> oldest =
          same.stream().flatMap(group -> group.confirmedAge().stream()).max(Duration::compareTo);
      table =
          table.withRow(
              first.id().value(),
              first.term().number(),
              first.primary().map(server -> server.value()).orElse(null),
              same.size(),
              milliseconds(oldest));
    }
    return table;
  }

  /** One row for each server, with the newest sample that any host reports. */
  static Table servers(FleetView view) {
    Table table =
        Table.of(
            "server",
            "group",
            "role",
            "term",
            "received",
            "replayed",
            "data_age_ms",
            "leaving",
            "hosts",
            "failing_at");
    Map<String, List<HostReport.Server>> byServer =
        view.reports().stream()
            .flatMap(report -> report.servers().stream())
            .collect(grouping(server -> server.group() + " " + server.id()));
    for (List<HostReport.Server> same : byServer.values()) {
      Optional<HostReport.Sample> newest =
          same.stream()
              .flatMap(server -> server.sample().stream())
              .min(Comparator.comparing(HostReport.Sample::age));
      table =
          table.withRow(
              same.get(0).id().value(),
              same.get(0).group().value(),
              newest.map(sample -> sample.role().name()).orElse(null),
              newest.map(sample -> sample.term().number()).orElse(null),
              newest.map(sample -> sample.received().toString()).orElse(null),
              newest.map(sample -> sample.replayed().toString()).orElse(null),
              milliseconds(newest.flatMap(HostReport.Sample::dataAge)),
              same.stream().anyMatch(HostReport.Server::leaving),
              same.size(),
              same.stream().filter(server -> server.failingFor().isPresent()).count());
    }
    return table;
  }

  /** One row for each workspace, with shares and demand summed over all hosts that reported. */
  static Table workspaces(FleetView view) {
    Table table = Table.of("workspace", "rate", "burst", "shares", "demand", "hosts");
    Map<String, List<HostReport.WorkspaceShare>> byWorkspace =
        view.reports().stream()
            .flatMap(report -> report.workspaces().stream())
            .collect(grouping(share -> share.id().value()));
    for (List<HostReport.WorkspaceShare> same : byWorkspace.values()) {
      table =
          table.withRow(
              same.get(0).id().value(),
              same.get(0).rate(),
              same.get(0).burst(),
              same.stream().mapToDouble(HostReport.WorkspaceShare::share).sum(),
              same.stream().mapToDouble(HostReport.WorkspaceShare::demand).sum(),
              same.size());
    }
    return table;
  }

  private static <T> Collector<T, ?, Map<String, List<T>>> grouping(Function<T, String> key) {
    return Collectors.groupingBy(key, TreeMap::new, Collectors.toList());
  }

  private static Object milliseconds(Optional<Duration> age) {
    return age.map(Duration::toMillis).orElse(null);
  }
}

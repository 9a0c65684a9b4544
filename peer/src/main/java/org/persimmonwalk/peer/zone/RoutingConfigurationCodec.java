package org.persimmonwalk.peer.zone;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.engine.DatabaseName;
import org.persimmonwalk.engine.GroupSettings;
import org.persimmonwalk.engine.RateLimit;
import org.persimmonwalk.engine.Route;
import org.persimmonwalk.engine.RouteKind;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.peer.generated.zone.GroupMessage;
import org.persimmonwalk.peer.generated.zone.KeyMessage;
import org.persimmonwalk.peer.generated.zone.LimitMessage;
import org.persimmonwalk.peer.generated.zone.RouteMessage;
import org.persimmonwalk.peer.generated.zone.RoutingConfigurationMessage;

/** Converts the routing configuration to its protobuf message and back. */
final class RoutingConfigurationCodec {
  /** About 30 years; longer durations would overflow when they are added to times. */
  private static final long MAXIMUM_MILLIS = 1_000_000_000_000L;

  private RoutingConfigurationCodec() {}

  static RoutingConfigurationMessage encode(RoutingConfiguration configuration) {
    RoutingConfigurationMessage.Builder message =
        RoutingConfigurationMessage.newBuilder()
            .setVersion(configuration.version())
            .setTransactionIdleMilliseconds(configuration.transactionIdleTimeout().toMillis());
    // Names that are alike compress better side by side.
    configuration.routes().values().stream()
        .sorted(Comparator.comparing(route -> route.database().value()))
        .forEach(route -> message.addRoutes(encode(route)));
    configuration
        .groups()
        .forEach(
            (group, settings) ->
                message.addGroups(
                    GroupMessage.newBuilder()
                        .setGroup(group.value())
                        .setMaximumConnections(settings.maximumConnections())
                        .setSynchronousReplicas(settings.synchronousReplicas())
                        .setColdRequestsPerSecond(settings.coldRequestsPerSecond())
                        .setColdStartMilliseconds(settings.coldStart().toMillis())));
    configuration
        .keys()
        .forEach(
            (hash, workspace) ->
                message.addKeys(
                    KeyMessage.newBuilder().setHash(hash.value()).setWorkspace(workspace.value())));
    configuration
        .limits()
        .forEach(
            (workspace, limit) ->
                message.addLimits(
                    LimitMessage.newBuilder()
                        .setWorkspace(workspace.value())
                        .setPerSecond(limit.perSecond())
                        .setBurst(limit.burst())));
    return message.build();
  }

  private static RouteMessage encode(Route route) {
    return RouteMessage.newBuilder()
        .setDatabase(route.database().value())
        .setGroup(route.group().value())
        .setKind(route.kind().name())
        .setStatementTimeoutMilliseconds(route.statementTimeout().toMillis())
        .setLatencyTargetMilliseconds(route.latencyTarget().toMillis())
        .setPriority(route.priority())
        .setMaximumStalenessMilliseconds(route.maximumStaleness().toMillis())
        .setOpen(route.open())
        .build();
  }

  /** Decodes a configuration; throws an IllegalArgumentException if a field is invalid. */
  static RoutingConfiguration decode(RoutingConfigurationMessage message) {
    Map<DatabaseName, Route> routes = new HashMap<>();
    message
        .getRoutesList()
        .forEach(route -> routes.put(DatabaseName.of(route.getDatabase()), decode(route)));
    Map<DatabaseGroupId, GroupSettings> groups = new HashMap<>();
    message
        .getGroupsList()
        .forEach(
            group ->
                groups.put(
                    DatabaseGroupId.ofExternal(group.getGroup()),
                    new GroupSettings(
                        group.getMaximumConnections(),
                        group.getSynchronousReplicas(),
                        requestsPerSecond(group.getColdRequestsPerSecond()),
                        millis(group.getColdStartMilliseconds()))));
    Map<KeyHash, WorkspaceId> keys = new HashMap<>();
    message
        .getKeysList()
        .forEach(
            key -> keys.put(KeyHash.of(key.getHash()), WorkspaceId.ofExternal(key.getWorkspace())));
    Map<WorkspaceId, RateLimit> limits = new HashMap<>();
    message
        .getLimitsList()
        .forEach(
            limit ->
                limits.put(
                    WorkspaceId.ofExternal(limit.getWorkspace()),
                    new RateLimit(limit.getPerSecond(), limit.getBurst())));
    return new RoutingConfiguration(
        message.getVersion(),
        routes,
        groups,
        keys,
        limits,
        millis(message.getTransactionIdleMilliseconds()));
  }

  private static Route decode(RouteMessage route) {
    return new Route(
        DatabaseName.of(route.getDatabase()),
        DatabaseGroupId.ofExternal(route.getGroup()),
        RouteKind.valueOf(route.getKind()),
        millis(route.getStatementTimeoutMilliseconds()),
        millis(route.getLatencyTargetMilliseconds()),
        route.getPriority(),
        millis(route.getMaximumStalenessMilliseconds()),
        route.getOpen());
  }

  private static double requestsPerSecond(double rate) {
    if (!(rate >= 0 && rate < Double.POSITIVE_INFINITY)) {
      throw new IllegalArgumentException("a rate of " + rate + " per second is out of range");
    }
    return rate;
  }

  private static Duration millis(long milliseconds) {
    if (milliseconds < 0 || milliseconds > MAXIMUM_MILLIS) {
      throw new IllegalArgumentException("a duration of " + milliseconds + " ms is out of range");
    }
    return Duration.ofMillis(milliseconds);
  }
}

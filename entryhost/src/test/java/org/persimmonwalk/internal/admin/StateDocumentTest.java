package org.persimmonwalk.internal.admin;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.ControlLoop;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.internal.settings.Settings;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.ConfirmedPosition;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.LogPosition;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.ServerSample;
import org.persimmonwalk.model.ServerView;
import org.persimmonwalk.model.ShareLease;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.model.Term;
import org.persimmonwalk.model.TokenOrder;
import org.persimmonwalk.model.Workspace;
import org.persimmonwalk.port.RandomSource;
import org.persimmonwalk.testing.FakeClock;

class StateDocumentTest {
  private static final AvailabilityZone ZONE = AvailabilityZone.of("zone-a");
  private static final DatabaseGroupId GROUP = DatabaseGroupId.of("tanks");
  private static final Term TERM = Term.of(3);
  private static final WorkspaceId OIL = WorkspaceId.of("oil");
  private static final EntryHostId PEER = EntryHostId.of("host-b1");

  /**
   * Guards against ages that stop increasing while the control thread is stalled, and against wrong
   * units.
   */
  @Test
  void shouldReportPositionsSharesAndAges() {
    FakeClock clock = new FakeClock();
    clock.advance(Duration.ofSeconds(10));
    ControlLoop control =
        ControlLoop.of(
            List.of((blackboard, context) -> fill(blackboard, context.now())),
            command -> {},
            clock,
            RandomSource.seeded(1));
    control.runRound();
    clock.advance(Duration.ofMillis(30));

    JsonNode state =
        StateDocument.of(
                new Settings.Host(EntryHostId.of("host-a1"), ZONE), control.snapshot(), clock.now())
            .toJson();

    assertThat(state.path("revision").asLong()).isEqualTo(42);
    assertThat(state.path("snapshotAgeMilliseconds").asLong()).isEqualTo(30);
    assertThat(state.path("freshnessAgeMilliseconds").asLong()).isEqualTo(1_030);
    assertThat(state.at("/groups/0/primary").asText()).isEqualTo("tanks-a");
    assertThat(state.at("/groups/0/confirmedAgeMilliseconds").asLong()).isEqualTo(130);
    assertThat(state.at("/servers/1/role").asText()).isEqualTo("REPLICA");
    assertThat(state.at("/servers/1/replayed").asText()).isEqualTo("0/64");
    assertThat(state.at("/servers/1/sampleAgeMilliseconds").asLong()).isEqualTo(80);
    assertThat(state.at("/servers/1/dataAgeMilliseconds").asLong()).isEqualTo(530);
    assertThat(state.at("/servers/2/role").isNull()).isTrue();
    assertThat(state.at("/workspaces/0/shareRate").asDouble()).isEqualTo(25);
    assertThat(state.at("/workspaces/0/shareEndsInMilliseconds").asLong()).isEqualTo(59_970);
    assertThat(state.at("/workspaces/0/demand").asDouble()).isEqualTo(12.5);
    assertThat(state.at("/peers/0/id").asText()).isEqualTo("host-b1");
    assertThat(state.at("/peers/0/live").asBoolean()).isTrue();
  }

  private static void fill(Blackboard blackboard, MonotonicTime now) {
    ServerView primary =
        view("tanks-a", now).withSample(ServerSample.ofPrimary(TERM, LogPosition.of(200)), now);
    ServerView replica =
        view("tanks-b", now)
            .withSample(
                ServerSample.ofReplica(
                    TERM, LogPosition.of(200), LogPosition.of(100), Duration.ZERO),
                now.minus(Duration.ofMillis(50)));
    List<ConfirmedPosition> confirmed =
        List.of(
            confirmed(100, now.minus(Duration.ofMillis(500))),
            confirmed(200, now.minus(Duration.ofMillis(100))));
    blackboard.put(
        Entries.GROUPS,
        Map.of(
            GROUP,
            new GroupView(
                GROUP,
                TERM,
                Optional.of(BackendServerId.of("tanks-a")),
                List.of(primary, replica, view("tanks-c", now)),
                confirmed,
                Duration.ofSeconds(30))));
    blackboard.put(
        Entries.CONFIGURATION,
        new Configuration(
            Revision.of(42),
            ReleaseNoteId.of("note-42"),
            Map.of(OIL, Workspace.of(OIL, 500, 100, Set.of(GROUP))),
            Map.of(),
            Map.of()));
    blackboard.put(Entries.CONFIGURATION_CURRENT_AT, Optional.of(now.minus(Duration.ofSeconds(1))));
    blackboard.put(
        Entries.SHARES,
        Map.of(OIL, ShareLease.of(25, 5, now.plus(Duration.ofMinutes(1)), TokenOrder.NONE)));
    blackboard.put(Entries.DEMAND, Map.of(OIL, 12.5));
    blackboard.put(
        Entries.HOSTS,
        Map.of(PEER, HostEntry.of(PEER, ZONE, SocketEndpoint.of("127.0.0.1", 7432))));
    blackboard.put(Entries.LIVE_HOSTS, Set.of(PEER));
  }

  private static ServerView view(String id, MonotonicTime now) {
    return ServerView.unknown(
        BackendServer.of(BackendServerId.of(id), ZONE, SocketEndpoint.of("127.0.0.1", 5432), 3, 50),
        now);
  }

  private static ConfirmedPosition confirmed(long position, MonotonicTime startedAt) {
    return ConfirmedPosition.of(GroupPosition.of(TERM, LogPosition.of(position)), startedAt);
  }
}

package org.persimmonwalk.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.RowValue;
import org.persimmonwalk.model.RowVersion;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.model.VersionedRow;
import org.persimmonwalk.model.WriteOutcome;
import org.persimmonwalk.model.WriteResult;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.standin.PlatformOutage;
import org.persimmonwalk.standin.StandInPlatform;
import org.persimmonwalk.standin.StandInPlatformSettings;

class PlatformClientTest {
  private static final TableRow ROW = TableRow.of("share", "tanks");
  private static final AvailabilityZone NORTH = AvailabilityZone.of("north");

  /** Long enough that the stand-in never exceeds it, even on a busy machine. */
  private static final Duration TIMEOUT = Duration.ofMinutes(5);

  private final StandInPlatform platform = StandInPlatform.start(StandInPlatformSettings.create());
  private final PlatformSettings settings =
      PlatformSettings.of(platform.endpoint(), NORTH).withTimeout(TIMEOUT);
  private final PlatformClient client = PlatformClient.create(settings);
  private final PlatformTableService tables = tables(client);

  @AfterEach
  void close() {
    client.close();
    platform.close();
  }

  /** Guards against changed values or versions, and against conflicts that are not reported. */
  @Test
  void shouldCompareAndSetRows() {
    assertThat(await(tables.read(ROW))).isEqualTo(VersionedRow.absent());
    assertThat(write(RowVersion.ABSENT, 10)).isEqualTo(result(WriteOutcome.WRITTEN, 1));
    assertThat(write(RowVersion.ABSENT, 20)).isEqualTo(result(WriteOutcome.CONFLICT, 1));
    assertThat(await(tables.read(ROW)))
        .isEqualTo(VersionedRow.of(RowVersion.of(1), new RateRow(10)));
    assertThat(platform.counters().requestsByZone()).containsOnlyKeys("north");
  }

  /** Guards against reporting a write as not done although it took effect. */
  @Test
  void shouldReportALostResponseAsUnknown() {
    platform.loseNextAnswers(1);
    assertThat(write(RowVersion.ABSENT, 10)).isEqualTo(result(WriteOutcome.UNKNOWN, 0));
    assertThat(await(tables.read(ROW)).version()).isEqualTo(RowVersion.of(1));
  }

  /** Guards against reporting an unknown outcome when the platform reports that it did nothing. */
  @Test
  void shouldReportARefusalAsUnavailable() {
    platform.setOutage(NORTH, PlatformOutage.REFUSED);
    assertThat(write(RowVersion.ABSENT, 10)).isEqualTo(result(WriteOutcome.UNAVAILABLE, 0));
    assertFails(tables.read(ROW), ResultCode.PLATFORM_UNAVAILABLE);
    assertFails(client.list(), ResultCode.PLATFORM_UNAVAILABLE);
  }

  /** Guards against requests that never complete because the platform does not respond. */
  @Test
  void shouldTimeOutOnASilentPlatform() {
    platform.setOutage(PlatformOutage.SILENT);
    try (PlatformClient shortTimeout =
        PlatformClient.create(settings.withTimeout(Duration.ofMillis(200)))) {
      assertFails(tables(shortTimeout).read(ROW), ResultCode.PLATFORM_UNAVAILABLE);
    }
  }

  /** Guards against reporting a write as not done although the platform received it. */
  @Test
  void shouldReportAnInterruptedWriteAsUnknown() throws InterruptedException {
    platform.setOutage(PlatformOutage.SILENT);
    CompletionStage<WriteResult> write =
        tables.compareAndSet(ROW, RowVersion.ABSENT, new RateRow(10));
    platform.awaitRequests(1);
    platform.close();
    assertThat(await(write)).isEqualTo(result(WriteOutcome.UNKNOWN, 0));
  }

  /** Guards against reporting an unknown outcome for a request that was not sent. */
  @Test
  void shouldReportAnUnreachablePlatformAsUnavailable() {
    platform.close();
    assertThat(write(RowVersion.ABSENT, 10)).isEqualTo(result(WriteOutcome.UNAVAILABLE, 0));
    assertFails(client.getObject("note"), ResultCode.PLATFORM_UNAVAILABLE);
  }

  /** Guards against an unlimited number of requests in flight while the platform is silent. */
  @Test
  void shouldBoundTheRequestsInFlight() {
    platform.setOutage(PlatformOutage.SILENT);
    try (PlatformClient bounded = PlatformClient.create(settings.withLimits(2, 1000))) {
      CompletionStage<VersionedRow> first = tables(bounded).read(ROW);
      CompletionStage<VersionedRow> second = tables(bounded).read(ROW);
      assertFails(tables(bounded).read(ROW), ResultCode.PLATFORM_UNAVAILABLE);
      assertThat(
              await(tables(bounded).compareAndSet(ROW, RowVersion.ABSENT, new RateRow(1)))
                  .outcome())
          .isEqualTo(WriteOutcome.UNAVAILABLE);
      assertThat(first.toCompletableFuture()).isNotDone();
      assertThat(second.toCompletableFuture()).isNotDone();
    }
  }

  /**
   * Guards against responses that exhaust the memory, and against in-flight slots that are not
   * released after them.
   */
  @Test
  void shouldRejectResponsesOverTheLimit() {
    await(client.putObject("note", new byte[101]));
    await(client.putObject("short-note", new byte[100]));
    try (PlatformClient bounded = PlatformClient.create(settings.withLimits(1, 100))) {
      assertFails(bounded.getObject("note"), ResultCode.PLATFORM_ANSWER_INVALID);
      assertThat(await(bounded.getObject("short-note")).orElseThrow()).hasSize(100);
    }
  }

  /** Guards against decisions based on row content of the wrong type. */
  @Test
  void shouldRejectContentThatTheCodecCannotRead() {
    write(RowVersion.ABSENT, 10);
    RowCodec<RateRow> refusing = RefusingCodec.INSTANCE;
    assertFails(client.readRow(ROW, refusing), ResultCode.PLATFORM_ANSWER_INVALID);
    RowValue other = new RowValue() {};
    assertThatThrownBy(() -> tables.compareAndSet(ROW, RowVersion.ABSENT, other))
        .isInstanceOf(IllegalArgumentException.class);
  }

  /** Guards against objects and hosts that are changed by the transport or the JSON format. */
  @Test
  void shouldReadObjectsAndHosts() {
    byte[] content = "Säiliö".getBytes(StandardCharsets.UTF_8);
    assertThat(await(client.getObject("configuration-1"))).isEmpty();
    await(client.putObject("configuration-1", content));
    assertThat(await(client.getObject("configuration-1")).orElseThrow()).isEqualTo(content);
    SocketEndpoint endpoint = SocketEndpoint.of("127.0.0.1", 7400);
    HostEntry live = HostEntry.of(EntryHostId.of("host-1"), NORTH, endpoint);
    HostEntry leaving = new HostEntry(EntryHostId.of("host-2"), NORTH, endpoint, true);
    platform.putHost(live);
    platform.putHost(leaving);
    assertThat(await(client.list())).containsExactly(live, leaving);
  }

  private WriteResult write(RowVersion expected, int rate) {
    return await(tables.compareAndSet(ROW, expected, new RateRow(rate)));
  }

  private static WriteResult result(WriteOutcome outcome, long version) {
    return WriteResult.of(outcome, RowVersion.of(version));
  }

  private static PlatformTableService tables(PlatformClient client) {
    return PlatformTableService.of(client, Map.of("share", new RateRowCodec()));
  }

  private static <T> T await(CompletionStage<T> stage) {
    return stage.toCompletableFuture().join();
  }

  private static void assertFails(CompletionStage<?> stage, ResultCode code) {
    assertThatThrownBy(() -> await(stage))
        .isInstanceOf(CompletionException.class)
        .cause()
        .isInstanceOfSatisfying(
            PersimmonwalkException.class, failure -> assertThat(failure.code()).isEqualTo(code));
  }
}

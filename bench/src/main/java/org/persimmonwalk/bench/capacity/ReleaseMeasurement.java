package org.persimmonwalk.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.KeyHash;
import org.persimmonwalk.id.ReleaseNoteId;
import org.persimmonwalk.internal.store.ConfigurationFormat;
import org.persimmonwalk.model.CallerKey;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.ConfigurationReply;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.StoredConfiguration;
import org.persimmonwalk.peer.PeerCodec;
import org.persimmonwalk.peer.PeerEnvelope;
import org.persimmonwalk.release.MergeResult;
import org.persimmonwalk.release.ReleaseItem;
import org.persimmonwalk.release.ReleaseNote;
import org.persimmonwalk.release.ReleaseNoteMerge;

/** Measures the size of a configuration and the time to merge, encode and decode it. */
final class ReleaseMeasurement {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final Duration MEASURED_TIME = Duration.ofMillis(300);
  private static final int GROUPS = 10;
  private static final int WORKSPACES = 8;
  private static final int KEYS = 80;
  private static final EntryHostId SENDER = EntryHostId.of("entry-host-0");
  private static final EntryHostId RECEIVER = EntryHostId.of("entry-host-1");

  private final CapacityReport report;

  private ReleaseMeasurement(CapacityReport report) {
    this.report = report;
  }

  static ReleaseMeasurement of(CapacityReport report) {
    return new ReleaseMeasurement(report);
  }

  void run() {
    measure(new Sizes(1, 100, WORKSPACES, KEYS));
    for (int groups : List.of(10, 50, 150, 300, 570)) {
      add("groups", "8 workspaces, 80 keys", groups, new Sizes(1, groups, WORKSPACES, KEYS));
    }
    for (int workspaces : List.of(8, 50, 100, 200)) {
      add("workspaces", "10 groups, 80 keys", workspaces, new Sizes(1, GROUPS, workspaces, KEYS));
    }
    for (int keys : List.of(100, 1_000, 4_000, 16_000)) {
      add("keys", "10 groups, 8 workspaces", keys, new Sizes(1, GROUPS, WORKSPACES, keys));
    }
  }

  private record Result(
      int objectBytes,
      int messageBytes,
      double mergeMicroseconds,
      double encodeObjectMicroseconds,
      double decodeObjectMicroseconds,
      double encodeMessageMicroseconds,
      double decodeMessageMicroseconds) {}

  private void add(String variable, String setting, int x, Sizes sizes) {
    Result result = measure(sizes);
    report.add("stored configuration, bytes", variable, setting, x, result.objectBytes());
    report.add("configuration message, bytes", variable, setting, x, result.messageBytes());
    report.add("merge of a note with 1 key, us", variable, setting, x, result.mergeMicroseconds());
    report.add(
        "encoding of the object, us", variable, setting, x, result.encodeObjectMicroseconds());
    report.add(
        "decoding of the object, us", variable, setting, x, result.decodeObjectMicroseconds());
    report.add(
        "encoding of the message, us", variable, setting, x, result.encodeMessageMicroseconds());
    report.add(
        "decoding of the message, us", variable, setting, x, result.decodeMessageMicroseconds());
  }

  private static Result measure(Sizes sizes) {
    Configuration configuration = SyntheticConfiguration.of(sizes);
    ConfigurationFormat format = ConfigurationFormat.create();
    StoredConfiguration stored = StoredConfiguration.of(configuration, Optional.empty());
    byte[] object = format.encode(stored);
    ConfigurationReply reply =
        new ConfigurationReply(configuration, Optional.of(Duration.ZERO), MonotonicTime.of(0));
    PeerEnvelope envelope = PeerEnvelope.of(SENDER, RECEIVER, reply);
    byte[] message = PeerCodec.encode(envelope);
    ReleaseNote note = note(configuration);
    if (!(ReleaseNoteMerge.merge(configuration, note) instanceof MergeResult.Merged)) {
      throw new IllegalStateException(
          "the release note could not be merged into the configuration");
    }
    return new Result(
        object.length,
        message.length,
        microseconds(() -> ReleaseNoteMerge.merge(configuration, note)),
        microseconds(() -> format.encode(stored)),
        microseconds(() -> format.decode(object)),
        microseconds(() -> PeerCodec.encode(envelope)),
        microseconds(() -> PeerCodec.decode(ByteBuffer.wrap(message))));
  }

  private static ReleaseNote note(Configuration configuration) {
    CallerKey key =
        CallerKey.of(KeyHash.ofKey("added"), configuration.workspaces().keySet().iterator().next());
    return ReleaseNote.of(ReleaseNoteId.of("note-2"), configuration.revision())
        .withAdded(List.of(new ReleaseItem.KeyItem(key)));
  }

  /** Returns the mean processor time of a call, after a warm-up of the same length. */
  private static double microseconds(Runnable call) {
    repeat(call);
    return repeat(call);
  }

  private static double repeat(Runnable call) {
    long start = THREADS.getCurrentThreadCpuTime();
    long calls = 0;
    long elapsed = 0;
    while (elapsed < MEASURED_TIME.toNanos()) {
      call.run();
      calls++;
      elapsed = THREADS.getCurrentThreadCpuTime() - start;
    }
    return elapsed / 1e3 / calls;
  }
}

package org.persimmonwalk.internal.control.configuration;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.command.LoadConfiguration;
import org.persimmonwalk.command.ReadTableRow;
import org.persimmonwalk.command.SendPeerMessage;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.internal.control.Jitter;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.ConfigurationReply;
import org.persimmonwalk.model.ConfigurationRequest;
import org.persimmonwalk.model.ConfigurationRow;
import org.persimmonwalk.model.Heartbeat;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.observation.ConfigurationLoaded;
import org.persimmonwalk.observation.PeerMessageReceived;
import org.persimmonwalk.observation.TableRowRead;
import org.persimmonwalk.observation.TableRowReadFailed;

/**
 * Puts the newest configuration in force and records the time at which it was last known to be the
 * newest, its freshness. An older configuration never replaces a newer one.
 *
 * <p>The configuration row is read about once a second. A newer revision in the row is loaded from
 * the store, and a newer one in a peer's heartbeat is requested from that peer. The two ways are
 * independent, so that a peer that does not answer does not delay loading from the store.
 */
public final class ConfigurationController implements Controller {
  private static final Duration READ_INTERVAL = Duration.ofSeconds(1);

  /** A read without an answer for this long is treated as lost, and the next one may start. */
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);

  /**
   * A load or request without a result may be repeated after this time. It is short compared with
   * the 5 s in which a change must reach all hosts.
   */
  private static final Duration LOAD_TIMEOUT = Duration.ofMillis(800);

  private Optional<MonotonicTime> nextReadAt = Optional.empty();
  private Optional<MonotonicTime> readStartedAt = Optional.empty();
  private Optional<MonotonicTime> loadStartedAt = Optional.empty();
  private Optional<MonotonicTime> requestStartedAt = Optional.empty();

  private ConfigurationController() {}

  /** Returns the controller. */
  public static ConfigurationController create() {
    return new ConfigurationController();
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    blackboard
        .observations(ConfigurationLoaded.class)
        .forEach(
            loaded ->
                accept(
                    blackboard, loaded.configuration(), Optional.of(loaded.currentAt()), context));
    blackboard
        .observations(PeerMessageReceived.class)
        .forEach(received -> receive(blackboard, received, context));
    blackboard
        .observations(TableRowRead.class)
        .filter(read -> read.row().equals(ConfigurationRow.ROW))
        .forEach(read -> applyRead(blackboard, read, context));
    blackboard
        .observations(TableRowReadFailed.class)
        .filter(failed -> failed.row().equals(ConfigurationRow.ROW))
        .forEach(failed -> readStartedAt = Optional.empty());
    readWhenDue(blackboard, context);
  }

  private void receive(Blackboard blackboard, PeerMessageReceived received, RoundContext context) {
    if (received.message() instanceof Heartbeat heartbeat) {
      applyHeartbeat(blackboard, received.from(), heartbeat, context);
    } else if (received.message() instanceof ConfigurationRequest request) {
      answer(blackboard, received.from(), request, context);
    } else if (received.message() instanceof ConfigurationReply reply) {
      Optional<MonotonicTime> currentAt = reply.freshnessAge().map(reply.echoedSentAt()::minus);
      accept(blackboard, reply.configuration(), currentAt, context);
    }
  }

  private void applyHeartbeat(
      Blackboard blackboard, EntryHostId from, Heartbeat heartbeat, RoundContext context) {
    blackboard.put(
        Entries.PEER_REVISIONS,
        blackboard.get(Entries.PEER_REVISIONS).with(from, heartbeat.revision()));
    Revision own = blackboard.get(Entries.CONFIGURATION).revision();
    if (heartbeat.revision().isNewerThan(own)) {
      if (isUnsetOrTimedOut(requestStartedAt, LOAD_TIMEOUT, context)) {
        requestStartedAt = Optional.of(context.now());
        blackboard.submit(new SendPeerMessage(from, new ConfigurationRequest(own, context.now())));
      }
    } else if (heartbeat.revision().equals(own) && heartbeat.echoedSentAt().isPresent()) {
      MonotonicTime echoedSentAt = heartbeat.echoedSentAt().get();
      heartbeat
          .freshnessAge()
          .ifPresent(age -> refresh(blackboard, echoedSentAt.minus(age), context));
    }
  }

  private static void answer(
      Blackboard blackboard, EntryHostId from, ConfigurationRequest request, RoundContext context) {
    Configuration own = blackboard.get(Entries.CONFIGURATION);
    if (own.revision().isNewerThan(request.known())) {
      Optional<Duration> age =
          blackboard.get(Entries.CONFIGURATION_CURRENT_AT).map(context.now()::since);
      blackboard.submit(
          new SendPeerMessage(from, new ConfigurationReply(own, age, request.sentAt())));
    }
  }

  private void applyRead(Blackboard blackboard, TableRowRead read, RoundContext context) {
    readStartedAt = Optional.empty();
    if (read.value().isEmpty() || !(read.value().get() instanceof ConfigurationRow row)) {
      return;
    }
    Revision own = blackboard.get(Entries.CONFIGURATION).revision();
    if (row.revision().equals(own)) {
      refresh(blackboard, read.startedAt(), context);
    } else if (row.revision().isNewerThan(own)
        && isUnsetOrTimedOut(loadStartedAt, LOAD_TIMEOUT, context)) {
      loadStartedAt = Optional.of(context.now());
      blackboard.submit(new LoadConfiguration(row.revision()));
    }
  }

  private void accept(
      Blackboard blackboard,
      Configuration loaded,
      Optional<MonotonicTime> currentAt,
      RoundContext context) {
    Revision own = blackboard.get(Entries.CONFIGURATION).revision();
    if (own.isNewerThan(loaded.revision())) {
      return;
    }
    if (loaded.revision().isNewerThan(own)) {
      blackboard.put(Entries.CONFIGURATION, loaded);
      loadStartedAt = Optional.empty();
      requestStartedAt = Optional.empty();
    }
    currentAt.ifPresent(time -> refresh(blackboard, time, context));
  }

  /**
   * Moves the freshness forward. It is kept when a newer revision arrives: if the previous revision
   * was the newest at that time, the newer one became the newest only later.
   */
  private static void refresh(
      Blackboard blackboard, MonotonicTime currentAt, RoundContext context) {
    Optional<MonotonicTime> known = blackboard.get(Entries.CONFIGURATION_CURRENT_AT);
    boolean later = known.isEmpty() || currentAt.isAfter(known.get());
    if (later && !currentAt.isAfter(context.now())) {
      blackboard.put(Entries.CONFIGURATION_CURRENT_AT, Optional.of(currentAt));
    }
  }

  private void readWhenDue(Blackboard blackboard, RoundContext context) {
    boolean due = nextReadAt.isEmpty() || !context.now().isBefore(nextReadAt.get());
    if (due && isUnsetOrTimedOut(readStartedAt, READ_TIMEOUT, context)) {
      readStartedAt = Optional.of(context.now());
      nextReadAt = Optional.of(Jitter.after(context, READ_INTERVAL));
      blackboard.submit(new ReadTableRow(ConfigurationRow.ROW));
    }
  }

  private static boolean isUnsetOrTimedOut(
      Optional<MonotonicTime> startedAt, Duration timeout, RoundContext context) {
    return startedAt.isEmpty() || context.now().since(startedAt.get()).compareTo(timeout) >= 0;
  }
}

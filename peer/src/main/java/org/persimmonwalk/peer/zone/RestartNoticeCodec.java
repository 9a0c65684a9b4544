package org.persimmonwalk.peer.zone;

import java.time.Duration;
import java.util.List;
import org.persimmonwalk.engine.control.RestartNotice;
import org.persimmonwalk.engine.control.SuspectedRestart;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.peer.generated.zone.RestartNoticeMessage;

/** Converts notices of restarts to protobuf messages and back. */
final class RestartNoticeCodec {

  private RestartNoticeCodec() {}

  /** Encodes notices. Ages are rounded down: a loss that seems later is heeded for longer. */
  static List<RestartNoticeMessage> encode(List<RestartNotice> notices) {
    return notices.stream()
        .map(
            notice ->
                RestartNoticeMessage.newBuilder()
                    .setServer(notice.server().value())
                    .setStartedAtMilliseconds(notice.startedAtMillis())
                    .setAgeMilliseconds(notice.age().toMillis())
                    .build())
        .toList();
  }

  /**
   * Decodes notices; leaves out those that are too old to be used.
   *
   * @throws IllegalArgumentException if a field is invalid
   */
  static List<RestartNotice> decode(List<RestartNoticeMessage> messages) {
    return messages.stream()
        .peek(RestartNoticeCodec::check)
        .filter(message -> message.getAgeMilliseconds() < SuspectedRestart.MAXIMUM_AGE.toMillis())
        .map(
            message ->
                new RestartNotice(
                    BackendServerId.ofExternal(message.getServer()),
                    message.getStartedAtMilliseconds(),
                    Duration.ofMillis(message.getAgeMilliseconds())))
        .toList();
  }

  private static void check(RestartNoticeMessage message) {
    if (message.getAgeMilliseconds() < 0 || message.getStartedAtMilliseconds() < 0) {
      throw new IllegalArgumentException("the restart notice " + message + " is out of range");
    }
  }
}

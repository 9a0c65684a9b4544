package org.persimmonwalk.peer.zone;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.persimmonwalk.engine.control.ServerLoad;
import org.persimmonwalk.engine.control.ServerLoadReport;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.peer.generated.zone.ServerLoadMessage;

/** Converts the loads of servers to protobuf messages and back. */
final class ServerLoadCodec {

  private ServerLoadCodec() {}

  static List<ServerLoadMessage> encode(ServerLoadReport report) {
    List<ServerLoadMessage> messages = new ArrayList<>(report.loads().size());
    for (ServerLoad load : report.loads()) {
      messages.add(
          ServerLoadMessage.newBuilder()
              .setServer(load.server().value())
              .setOutstanding(load.outstanding())
              .setAnswers(load.answers())
              .setLatencyMicroseconds(ZoneCodec.microsRoundedUp(load.latencySum()))
              .setFailures(load.failures())
              .setAgeMicroseconds(ZoneCodec.microsRoundedUp(report.age()))
              .setHosts(load.hosts())
              .build());
    }
    return messages;
  }

  /**
   * Decodes loads. Those of one report are of the same age; the oldest counts.
   *
   * @throws IllegalArgumentException if a field is invalid
   */
  static ServerLoadReport decode(List<ServerLoadMessage> messages) {
    Duration age = Duration.ZERO;
    List<ServerLoad> loads = new ArrayList<>(messages.size());
    for (ServerLoadMessage message : messages) {
      loads.add(
          new ServerLoad(
              BackendServerId.ofExternal(message.getServer()),
              message.getOutstanding(),
              message.getAnswers(),
              ZoneCodec.micros(message.getLatencyMicroseconds()),
              message.getFailures(),
              message.getHosts()));
      Duration itsAge = ZoneCodec.micros(message.getAgeMicroseconds());
      age = itsAge.compareTo(age) > 0 ? itsAge : age;
    }
    return new ServerLoadReport(age, loads);
  }
}

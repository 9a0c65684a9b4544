package org.persimmonwalk.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.id.TransferId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.ConfigurationReply;
import org.persimmonwalk.model.ConfigurationRequest;
import org.persimmonwalk.model.Heartbeat;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.PeerMessage;
import org.persimmonwalk.model.RelayedHostState;
import org.persimmonwalk.model.ShareRequest;
import org.persimmonwalk.model.ShareTransfer;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.model.TableRow;
import org.persimmonwalk.peer.generated.ConfigurationReplyMessage;
import org.persimmonwalk.peer.generated.ConfigurationRequestMessage;
import org.persimmonwalk.peer.generated.DemandMessage;
import org.persimmonwalk.peer.generated.Envelope;
import org.persimmonwalk.peer.generated.HeartbeatMessage;
import org.persimmonwalk.peer.generated.HostMessage;
import org.persimmonwalk.peer.generated.HostNewsMessage;
import org.persimmonwalk.peer.generated.ShareRequestMessage;
import org.persimmonwalk.peer.generated.ShareTransferMessage;
import org.persimmonwalk.peer.generated.TableRowMessage;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/** Converts the messages between entry hosts to protobuf envelopes and back. */
public final class PeerCodec {

  private PeerCodec() {}

  /**
   * Returns the encoded envelope of a message, without the length prefix.
   *
   * @throws IllegalArgumentException if the protocol has no encoding for this type of message
   */
  public static byte[] encode(PeerEnvelope envelope) {
    Envelope.Builder builder =
        Envelope.newBuilder().setFrom(envelope.from().value()).setTo(envelope.to().value());
    PeerMessage message = envelope.message();
    if (message instanceof Heartbeat heartbeat) {
      builder.setHeartbeat(encode(heartbeat));
    } else if (message instanceof ConfigurationRequest request) {
      builder.setConfigurationRequest(
          ConfigurationRequestMessage.newBuilder()
              .setKnown(request.known().number())
              .setSentAt(request.sentAt().nanoseconds()));
    } else if (message instanceof ConfigurationReply reply) {
      builder.setConfigurationReply(encode(reply));
    } else if (message instanceof ShareTransfer transfer) {
      builder.setShareTransfer(encode(transfer));
    } else if (message instanceof ShareRequest request) {
      builder.setShareRequest(encode(request));
    } else {
      throw new IllegalArgumentException(
          "the peer protocol has no encoding for " + message.getClass());
    }
    return builder.build().toByteArray();
  }

  /**
   * Decodes an envelope.
   *
   * @throws PersimmonwalkException with {@link ResultCode#MALFORMED_MESSAGE} if the bytes are not a
   *     valid envelope
   */
  public static PeerEnvelope decode(ByteBuffer bytes) {
    try {
      Envelope envelope = Envelope.parseFrom(bytes);
      return PeerEnvelope.of(
          EntryHostId.of(envelope.getFrom()),
          EntryHostId.of(envelope.getTo()),
          decodeMessage(envelope));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      throw PersimmonwalkException.of(
          ResultCode.MALFORMED_MESSAGE,
          "invalid message of the peer protocol: " + e.getMessage(),
          e);
    }
  }

  private static PeerMessage decodeMessage(Envelope envelope) {
    return switch (envelope.getMessageCase()) {
      case HEARTBEAT -> decode(envelope.getHeartbeat());
      case CONFIGURATION_REQUEST ->
          new ConfigurationRequest(
              Revision.of(envelope.getConfigurationRequest().getKnown()),
              MonotonicTime.of(envelope.getConfigurationRequest().getSentAt()));
      case CONFIGURATION_REPLY -> decode(envelope.getConfigurationReply());
      case SHARE_TRANSFER -> decode(envelope.getShareTransfer());
      case SHARE_REQUEST -> decode(envelope.getShareRequest());
      case MESSAGE_NOT_SET -> throw new IllegalArgumentException("the envelope has no message");
    };
  }

  private static HeartbeatMessage encode(Heartbeat heartbeat) {
    HeartbeatMessage.Builder builder =
        HeartbeatMessage.newBuilder()
            .setSender(encode(heartbeat.sender()))
            .setRevision(heartbeat.revision().number())
            .setSentAt(heartbeat.sentAt().nanoseconds());
    heartbeat
        .freshnessAge()
        .ifPresent(age -> builder.setFreshnessAgeMilliseconds(millisecondsRoundedUp(age)));
    heartbeat.echoedSentAt().ifPresent(time -> builder.setAnswers(time.nanoseconds()));
    for (RelayedHostState relayed : heartbeat.relayedHosts()) {
      builder.addHeard(
          HostNewsMessage.newBuilder()
              .setHost(encode(relayed.host()))
              .setAgeMilliseconds(Math.toIntExact(millisecondsRoundedUp(relayed.age()))));
    }
    heartbeat
        .demand()
        .forEach(
            (workspace, rate) ->
                builder.addDemand(
                    DemandMessage.newBuilder().setWorkspace(workspace.value()).setRate(rate)));
    return builder.build();
  }

  private static Heartbeat decode(HeartbeatMessage message) {
    List<RelayedHostState> relayedHosts =
        message.getHeardList().stream()
            .map(
                relayed ->
                    RelayedHostState.of(
                        decode(relayed.getHost()),
                        Duration.ofMillis(Integer.toUnsignedLong(relayed.getAgeMilliseconds()))))
            .toList();
    Map<WorkspaceId, Double> demand = new HashMap<>();
    message
        .getDemandList()
        .forEach(entry -> demand.put(WorkspaceId.of(entry.getWorkspace()), entry.getRate()));
    return new Heartbeat(
        decode(message.getSender()),
        Revision.of(message.getRevision()),
        message.hasFreshnessAgeMilliseconds()
            ? Optional.of(Duration.ofMillis(message.getFreshnessAgeMilliseconds()))
            : Optional.empty(),
        MonotonicTime.of(message.getSentAt()),
        message.hasAnswers()
            ? Optional.of(MonotonicTime.of(message.getAnswers()))
            : Optional.empty(),
        relayedHosts,
        demand);
  }

  private static HostMessage encode(HostEntry host) {
    return HostMessage.newBuilder()
        .setId(host.id().value())
        .setZone(host.zone().value())
        .setAddress(host.endpoint().address())
        .setPort(host.endpoint().port())
        .setLeaving(host.leaving())
        .build();
  }

  private static HostEntry decode(HostMessage message) {
    return new HostEntry(
        EntryHostId.of(message.getId()),
        AvailabilityZone.of(message.getZone()),
        SocketEndpoint.of(message.getAddress(), message.getPort()),
        message.getLeaving());
  }

  private static ConfigurationReplyMessage encode(ConfigurationReply reply) {
    ConfigurationReplyMessage.Builder builder =
        ConfigurationReplyMessage.newBuilder()
            .setConfiguration(ConfigurationCodec.encode(reply.configuration()))
            .setAnswers(reply.echoedSentAt().nanoseconds());
    reply
        .freshnessAge()
        .ifPresent(age -> builder.setFreshnessAgeMilliseconds(millisecondsRoundedUp(age)));
    return builder.build();
  }

  private static ConfigurationReply decode(ConfigurationReplyMessage message) {
    return new ConfigurationReply(
        ConfigurationCodec.decode(message.getConfiguration()),
        message.hasFreshnessAgeMilliseconds()
            ? Optional.of(Duration.ofMillis(message.getFreshnessAgeMilliseconds()))
            : Optional.empty(),
        MonotonicTime.of(message.getAnswers()));
  }

  private static ShareRequestMessage encode(ShareRequest request) {
    return ShareRequestMessage.newBuilder()
        .setId(request.id().value())
        .setRow(encode(request.row()))
        .setHeld(request.held())
        .setDemand(request.demand())
        .setTokens(request.tokens())
        .build();
  }

  private static ShareRequest decode(ShareRequestMessage message) {
    return new ShareRequest(
        TransferId.of(message.getId()),
        decode(message.getRow()),
        ReceivedNumbers.units(message.getHeld()),
        ReceivedNumbers.amount(message.getDemand()),
        ReceivedNumbers.amount(message.getTokens()));
  }

  private static ShareTransferMessage encode(ShareTransfer transfer) {
    return ShareTransferMessage.newBuilder()
        .setId(transfer.id().value())
        .setRow(encode(transfer.row()))
        .setAmount(transfer.amount())
        .setTokens(transfer.tokens())
        .setRemainingMilliseconds(transfer.remaining().toMillis())
        .build();
  }

  private static ShareTransfer decode(ShareTransferMessage message) {
    return new ShareTransfer(
        TransferId.of(message.getId()),
        decode(message.getRow()),
        ReceivedNumbers.units(message.getAmount()),
        ReceivedNumbers.amount(message.getTokens()),
        ReceivedNumbers.duration(message.getRemainingMilliseconds()));
  }

  private static TableRowMessage encode(TableRow row) {
    return TableRowMessage.newBuilder().setTable(row.table()).setRow(row.row()).build();
  }

  private static TableRow decode(TableRowMessage message) {
    return TableRow.of(message.getTable(), message.getRow());
  }

  /**
   * Rounds an age up, so that it is never understated. The remaining time of a lease, in contrast,
   * is rounded down.
   */
  private static long millisecondsRoundedUp(Duration age) {
    return age.plusNanos(999_999).toMillis();
  }
}

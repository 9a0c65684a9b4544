package org.persimmonwalk.peer.zone;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.ServerEntry;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.SendTokenRequests;
import org.persimmonwalk.engine.control.ServerList;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoreReading;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TokenLoan;
import org.persimmonwalk.engine.control.TokenReply;
import org.persimmonwalk.engine.control.TokenRequest;
import org.persimmonwalk.engine.control.TokenRequestsReceived;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.engine.control.ZoneRequest;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.peer.generated.zone.RowMessage;
import org.persimmonwalk.peer.generated.zone.RowVersionMessage;
import org.persimmonwalk.peer.generated.zone.ServerListMessage;
import org.persimmonwalk.peer.generated.zone.ServerMessage;
import org.persimmonwalk.peer.generated.zone.StoreReadingMessage;
import org.persimmonwalk.peer.generated.zone.TokenAskMessage;
import org.persimmonwalk.peer.generated.zone.TokenLoanMessage;
import org.persimmonwalk.peer.generated.zone.ZoneReplyMessage;
import org.persimmonwalk.peer.generated.zone.ZoneRequestMessage;
import org.tinylog.Logger;

/** Converts the requests and replies of a zone to protobuf messages and back. */
final class ZoneCodec {
  private static final long NANOS_PER_MICRO = 1000;

  /** About 30 years; longer durations would overflow when they are added to times. */
  private static final long MAXIMUM_MICROS = 1_000_000_000_000_000L;

  /**
   * Stands in the lists of rows for the era of the store, which is sent as its version. Hosts of an
   * older build don't know the row and skip it.
   */
  private static final RowKey ERA_ROW = RowKey.of("", "era");

  private ZoneCodec() {}

  static ZoneRequestMessage encode(long exchangeId, ZoneRequest request) {
    ZoneRequestMessage.Builder message =
        ZoneRequestMessage.newBuilder()
            .setExchange(exchangeId)
            .setFrom(request.from().value())
            .setServersRevision(request.serverListRevision())
            .setUrgent(request.urgent())
            .setReadsCompressed(true);
    if (request.era().isKnown()) {
      message.addKnown(
          RowVersionMessage.newBuilder()
              .setTable(ERA_ROW.table())
              .setKey(ERA_ROW.key())
              .setVersion(request.era().number()));
    }
    request
        .knownVersions()
        .forEach(
            (row, version) ->
                message.addKnown(
                    RowVersionMessage.newBuilder()
                        .setTable(row.table())
                        .setKey(row.key())
                        .setVersion(version.number())));
    request.tokenRequests().forEach(tokenRequest -> message.addAsks(encode(tokenRequest)));
    message.addAllLoads(ServerLoadCodec.encode(request.loads()));
    message.addAllRestartNotices(RestartNoticeCodec.encode(request.restartNotices()));
    return message.build();
  }

  static ZoneRequestMessage encode(long exchangeId, SendTokenRequests command) {
    ZoneRequestMessage.Builder message =
        ZoneRequestMessage.newBuilder()
            .setExchange(exchangeId)
            .setFrom(command.from().value())
            .setTokensOnly(true);
    command.requests().forEach(tokenRequest -> message.addAsks(encode(tokenRequest)));
    message.addAllRestartNotices(RestartNoticeCodec.encode(command.restartNotices()));
    return message.build();
  }

  private static TokenAskMessage encode(TokenRequest request) {
    return TokenAskMessage.newBuilder()
        .setWorkspace(request.workspace().value())
        .setHeld(request.held())
        .setDemand(request.demand())
        .setTarget(request.target() + request.waiting())
        .setWaiting(request.waiting())
        .build();
  }

  /** Decodes a request; throws an IllegalArgumentException if a field is invalid. */
  static ZoneRequest decode(ZoneRequestMessage message) {
    Map<RowKey, Long> numbers = new HashMap<>();
    message
        .getKnownList()
        .forEach(row -> numbers.put(RowKey.of(row.getTable(), row.getKey()), row.getVersion()));
    StoreEra era =
        Optional.ofNullable(numbers.remove(ERA_ROW)).map(StoreEra::of).orElse(StoreEra.UNKNOWN);
    Map<RowKey, StoreVersion> knownVersions = new HashMap<>();
    numbers.forEach((key, number) -> knownVersions.put(key, StoreVersion.of(era, number)));
    return new ZoneRequest(
        EntryHostId.ofExternal(message.getFrom()),
        era,
        knownVersions,
        message.getServersRevision(),
        message.getUrgent(),
        decodeTokenRequests(message),
        ServerLoadCodec.decode(message.getLoadsList()),
        RestartNoticeCodec.decode(message.getRestartNoticesList()));
  }

  /** Decodes token requests; throws an IllegalArgumentException if a field is invalid. */
  static TokenRequestsReceived decodeTokens(long exchangeId, ZoneRequestMessage message) {
    return new TokenRequestsReceived(
        exchangeId,
        EntryHostId.ofExternal(message.getFrom()),
        decodeTokenRequests(message),
        RestartNoticeCodec.decode(message.getRestartNoticesList()));
  }

  private static List<TokenRequest> decodeTokenRequests(ZoneRequestMessage message) {
    return message.getAsksList().stream().map(ZoneCodec::decode).toList();
  }

  private static TokenRequest decode(TokenAskMessage request) {
    long waiting = request.getWaiting();
    if (waiting < 0 || request.getTarget() < waiting || request.getHeld() < 0) {
      throw new IllegalArgumentException("the token request " + request + " is out of range");
    }
    return new TokenRequest(
        WorkspaceId.ofExternal(request.getWorkspace()),
        request.getHeld(),
        request.getDemand(),
        request.getTarget() - waiting,
        waiting);
  }

  static ZoneReplyMessage encode(long exchangeId, TokenReply reply) {
    ZoneReplyMessage.Builder message =
        ZoneReplyMessage.newBuilder().setExchange(exchangeId).setServes(reply.lends());
    reply.loans().forEach(loan -> message.addLoans(encode(loan)));
    message.addAllRestartNotices(RestartNoticeCodec.encode(reply.restartNotices()));
    return message.build();
  }

  /** Decodes a lender's reply; throws an IllegalArgumentException if a field is invalid. */
  static TokenReply decodeTokens(ZoneReplyMessage message) {
    return new TokenReply(
        message.getServes(),
        decodeLoans(message),
        RestartNoticeCodec.decode(message.getRestartNoticesList()));
  }

  private static TokenLoanMessage encode(TokenLoan loan) {
    return TokenLoanMessage.newBuilder()
        .setWorkspace(loan.workspace().value())
        .setTokens(loan.tokens())
        .setScarce(loan.scarce())
        .setRenews(loan.renews())
        .setValidMicroseconds(microsRoundedDown(loan.validFor()))
        .build();
  }

  private static List<TokenLoan> decodeLoans(ZoneReplyMessage message) {
    return message.getLoansList().stream()
        .map(
            loan ->
                new TokenLoan(
                    WorkspaceId.ofExternal(loan.getWorkspace()),
                    loan.getTokens(),
                    loan.getScarce(),
                    loan.getRenews(),
                    micros(loan.getValidMicroseconds())))
        .toList();
  }

  /** Encodes a reply whose configuration has been compressed, if there is one. */
  static ZoneReplyMessage encode(
      long exchangeId, ZoneReply reply, Function<RoutingConfiguration, ByteString> compressor) {
    ZoneReplyMessage.Builder message = builder(exchangeId, reply);
    reply
        .configuration()
        .ifPresent(newer -> message.setCompressedConfiguration(compressor.apply(newer)));
    return message.build();
  }

  /** Encodes a reply to a host of an older build, which can't read a compressed configuration. */
  static ZoneReplyMessage encode(long exchangeId, ZoneReply reply) {
    ZoneReplyMessage.Builder message = builder(exchangeId, reply);
    reply
        .configuration()
        .ifPresent(newer -> message.setConfiguration(RoutingConfigurationCodec.encode(newer)));
    return message.build();
  }

  private static ZoneReplyMessage.Builder builder(long exchangeId, ZoneReply reply) {
    ZoneReplyMessage.Builder message =
        ZoneReplyMessage.newBuilder()
            .setExchange(exchangeId)
            .setServes(reply.isRelay())
            .setConfigurationRowVersion(reply.configurationRowVersion().number())
            .setActiveHosts(reply.fleetSize());
    // Hosts of an older build know one age only, which then is that of the configuration.
    reply
        .configurationAge()
        .ifPresent(age -> message.setVerifiedAgeMicroseconds(microsRoundedUp(age)));
    reply
        .verifiedAge()
        .filter(age -> !reply.configurationAge().equals(reply.verifiedAge()))
        .ifPresent(age -> message.setRowsVerifiedAgeMicroseconds(microsRoundedUp(age)));
    reply
        .storeReading()
        .ifPresent(
            reading ->
                message.setReading(
                    StoreReadingMessage.newBuilder()
                        .setMilliseconds(reading.millis())
                        .setSentAgeMicroseconds(microsRoundedUp(reading.sentAge()))
                        .setReceivedAgeMicroseconds(microsRoundedDown(reading.receivedAge()))));
    if (reply.era().isKnown()) {
      message.addRows(
          RowMessage.newBuilder()
              .setTable(ERA_ROW.table())
              .setKey(ERA_ROW.key())
              .setVersion(reply.era().number()));
    }
    reply
        .rows()
        .forEach(
            (key, row) ->
                message.addRows(
                    RowMessage.newBuilder()
                        .setTable(key.table())
                        .setKey(key.key())
                        .setVersion(row.version().number())
                        .setValue(row.value())
                        .setRemoved(row.removed())));
    reply.servers().ifPresent(list -> message.setServers(encode(list)));
    message.addAllLoads(ServerLoadCodec.encode(reply.loads()));
    message.addAllRestartNotices(RestartNoticeCodec.encode(reply.restartNotices()));
    reply.loans().forEach(loan -> message.addLoans(encode(loan)));
    return message;
  }

  private static ServerListMessage encode(ServerList list) {
    ServerListMessage.Builder message =
        ServerListMessage.newBuilder()
            .setRevision(list.revision())
            .setAgeMicroseconds(microsRoundedUp(list.age()));
    list.entries()
        .forEach(
            entry ->
                message.addServers(
                    ServerMessage.newBuilder()
                        .setId(entry.id().value())
                        .setGroup(entry.group().value())
                        .setAddress(entry.endpoint().address())
                        .setPort(entry.endpoint().port())
                        .setZone(entry.zone().value())
                        .setSlots(entry.slots())
                        .setDraining(entry.draining())
                        .setPrimary(entry.primary())
                        .setStartedAtMilliseconds(entry.startedAtMillis())
                        .setColdLeftMilliseconds(entry.coldLeft().toMillis())));
    return message.build();
  }

  /** Decodes a reply; throws an IllegalArgumentException if a field is invalid. */
  static ZoneReply decode(ZoneReplyMessage message) {
    Map<RowKey, RowMessage> messages = new HashMap<>();
    message
        .getRowsList()
        .forEach(row -> messages.put(RowKey.of(row.getTable(), row.getKey()), row));
    StoreEra era =
        Optional.ofNullable(messages.remove(ERA_ROW))
            .map(row -> StoreEra.of(row.getVersion()))
            .orElse(StoreEra.UNKNOWN);
    Map<RowKey, StoredRow> rows = new HashMap<>();
    messages.forEach((key, row) -> rows.put(key, decode(row, era)));
    Optional<Duration> configurationAge =
        message.hasVerifiedAgeMicroseconds()
            ? Optional.of(micros(message.getVerifiedAgeMicroseconds()))
            : Optional.empty();
    return new ZoneReply(
        message.getServes(),
        era,
        message.hasRowsVerifiedAgeMicroseconds()
            ? Optional.of(micros(message.getRowsVerifiedAgeMicroseconds()))
            : configurationAge,
        configurationAge,
        StoreVersion.of(era, message.getConfigurationRowVersion()),
        message.hasReading() ? Optional.of(decode(message.getReading())) : Optional.empty(),
        rows,
        decodeConfiguration(message),
        message.hasServers() ? Optional.of(decode(message.getServers())) : Optional.empty(),
        decodeLoans(message),
        message.getActiveHosts(),
        ServerLoadCodec.decode(message.getLoadsList()),
        RestartNoticeCodec.decode(message.getRestartNoticesList()));
  }

  private static Optional<RoutingConfiguration> decodeConfiguration(ZoneReplyMessage message) {
    if (!message.getCompressedConfiguration().isEmpty()) {
      return Optional.of(CompressedConfiguration.decompress(message.getCompressedConfiguration()));
    }
    return message.hasConfiguration()
        ? Optional.of(RoutingConfigurationCodec.decode(message.getConfiguration()))
        : Optional.empty();
  }

  private static StoredRow decode(RowMessage row, StoreEra era) {
    StoreVersion version = StoreVersion.of(era, row.getVersion());
    return row.getRemoved()
        ? StoredRow.removedAsOf(version)
        : StoredRow.of(version, row.getValue());
  }

  private static StoreReading decode(StoreReadingMessage message) {
    return new StoreReading(
        message.getMilliseconds(),
        micros(message.getSentAgeMicroseconds()),
        micros(message.getReceivedAgeMicroseconds()));
  }

  /** Decodes a list; skips invalid entries, which a relay of an older version may pass on. */
  private static ServerList decode(ServerListMessage message) {
    List<ServerEntry> entries = new ArrayList<>();
    for (ServerMessage server : message.getServersList()) {
      try {
        entries.add(decode(server));
      } catch (IllegalArgumentException e) {
        Logger.warn("event=relayed-server-invalid reason=\"{}\"", e.getMessage());
      }
    }
    return new ServerList(message.getRevision(), micros(message.getAgeMicroseconds()), entries);
  }

  private static ServerEntry decode(ServerMessage server) {
    return new ServerEntry(
        BackendServerId.ofExternal(server.getId()),
        DatabaseGroupId.ofExternal(server.getGroup()),
        SocketEndpoint.of(server.getAddress(), server.getPort()),
        AvailabilityZone.ofExternal(server.getZone()),
        server.getSlots(),
        server.getDraining(),
        server.getPrimary(),
        server.getStartedAtMilliseconds(),
        coldLeft(server.getColdLeftMilliseconds()));
  }

  private static Duration coldLeft(long milliseconds) {
    // Checked first, as the conversion of a number that is too large would overflow.
    if (milliseconds < 0 || milliseconds > ServerEntry.LONGEST_COLD_TIME.toMillis()) {
      throw new IllegalArgumentException("a cold time of " + milliseconds + " ms is out of range");
    }
    return Duration.ofMillis(milliseconds);
  }

  /** Rounds an age up; an overstated age only makes what depends on it expire earlier. */
  static long microsRoundedUp(Duration duration) {
    return (duration.toNanos() + NANOS_PER_MICRO - 1) / NANOS_PER_MICRO;
  }

  /** Rounds a validity down; an understated validity only costs another request. */
  private static long microsRoundedDown(Duration duration) {
    return Math.max(0, duration.toNanos() / NANOS_PER_MICRO);
  }

  /**
   * Returns the duration; a negative age would make what depends on it valid for too long.
   *
   * @throws IllegalArgumentException if it is negative or too long for nanoseconds
   */
  static Duration micros(long microseconds) {
    if (microseconds < 0 || microseconds > MAXIMUM_MICROS) {
      throw new IllegalArgumentException("a duration of " + microseconds + " us is out of range");
    }
    return Duration.ofNanos(microseconds * NANOS_PER_MICRO);
  }
}

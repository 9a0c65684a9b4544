package org.persimmonwalk.peer.zone;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.RestartNotice;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.SendTokenRequests;
import org.persimmonwalk.engine.control.ServerList;
import org.persimmonwalk.engine.control.ServerLoad;
import org.persimmonwalk.engine.control.ServerLoadReport;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoreReading;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TokenLoan;
import org.persimmonwalk.engine.control.TokenReply;
import org.persimmonwalk.engine.control.TokenRequest;
import org.persimmonwalk.engine.control.ZoneReply;
import org.persimmonwalk.engine.control.ZoneRequest;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.peer.generated.zone.ZoneReplyMessage;
import org.persimmonwalk.peer.generated.zone.ZoneRequestMessage;

/**
 * Loads the classes that encode and decode zone messages. The build calls it to record these
 * classes, so that a restarted process need not parse them.
 */
public final class ZoneClassPreloader {
  private static final RowKey ROW = RowKey.of("rehearsal", "row");
  private static final WorkspaceId WORKSPACE = WorkspaceId.of("rehearsal");

  private static final TokenRequest TOKEN_REQUEST = new TokenRequest(WORKSPACE, 0, 0, 1, 1);

  private static final ServerLoadReport LOADS =
      ServerLoadReport.of(
          Duration.ZERO,
          List.of(
              new ServerLoad(BackendServerId.of("rehearsal"), 1, 1, Duration.ofMillis(1), 1, 1)));

  private static final RestartNotice NOTICE =
      new RestartNotice(BackendServerId.of("rehearsal"), 1, Duration.ZERO);

  private ZoneClassPreloader() {}

  /** Encodes and decodes a request and a reply. */
  public static void run() {
    ZoneRequest request =
        new ZoneRequest(
            EntryHostId.of("rehearsal"),
            StoreEra.of(1),
            Map.of(ROW, StoreVersion.of(StoreEra.of(1), 1)),
            1,
            false,
            List.of(TOKEN_REQUEST),
            LOADS,
            List.of(NOTICE));
    SendTokenRequests tokenRequests =
        new SendTokenRequests(
            new RelayHost(EntryHostId.of("rehearsal"), SocketEndpoint.of("127.0.0.1", 1)),
            EntryHostId.of("rehearsal"),
            List.of(TOKEN_REQUEST),
            List.of());
    ZoneReply reply =
        new ZoneReply(
            true,
            StoreEra.of(1),
            Optional.of(Duration.ZERO),
            Optional.of(Duration.ZERO),
            StoreVersion.of(StoreEra.of(1), 1),
            Optional.of(new StoreReading(1, Duration.ZERO, Duration.ZERO)),
            Map.of(ROW, StoredRow.of(StoreVersion.of(StoreEra.of(1), 1), "")),
            Optional.of(RoutingConfiguration.NONE),
            Optional.of(new ServerList(1, Duration.ZERO, List.of())),
            List.of(new TokenLoan(WORKSPACE, 1, false, true, Duration.ZERO)),
            1,
            LOADS,
            List.of(NOTICE));
    try {
      byte[] requestBytes = ZoneCodec.encode(1, request).toByteArray();
      byte[] replyBytes = ZoneCodec.encode(1, reply).toByteArray();
      ZoneCodec.decode(ZoneRequestMessage.parseFrom(requestBytes));
      ZoneCodec.decode(ZoneReplyMessage.parseFrom(replyBytes));
      byte[] tokenRequestBytes = ZoneCodec.encode(1, tokenRequests).toByteArray();
      byte[] tokenReplyBytes = ZoneCodec.encode(1, TokenReply.notLender()).toByteArray();
      ZoneCodec.decodeTokens(1, ZoneRequestMessage.parseFrom(tokenRequestBytes));
      ZoneCodec.decodeTokens(ZoneReplyMessage.parseFrom(tokenReplyBytes));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("a zone message cannot be decoded after encoding", e);
    }
  }
}

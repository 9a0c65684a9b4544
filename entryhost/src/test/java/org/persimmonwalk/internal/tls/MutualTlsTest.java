package org.persimmonwalk.internal.tls;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.ssl.JdkSslContext;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import javax.net.SocketFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLException;
import javax.net.ssl.TrustManager;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.Revision;
import org.persimmonwalk.model.ConfigurationRequest;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.PeerMessage;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.peer.MutualTls;
import org.persimmonwalk.peer.PeerClient;
import org.persimmonwalk.peer.PeerCodec;
import org.persimmonwalk.peer.PeerEnvelope;
import org.persimmonwalk.peer.PeerSecurity;
import org.persimmonwalk.peer.PeerServer;
import org.persimmonwalk.peer.PeerSettings;
import org.persimmonwalk.port.PeerMessenger.SendOutcome;
import org.persimmonwalk.port.RandomSource;

/** Uses loopback connections; the timeout only stops a test that hangs. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class MutualTlsTest {
  private static final EntryHostId SELF = EntryHostId.of("self");
  private static final EntryHostId PEER = EntryHostId.of("peer");
  private static final PeerMessage MESSAGE =
      new ConfigurationRequest(Revision.of(7), MonotonicTime.of(1));

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<EntryHostId> senders = new LinkedBlockingQueue<>();
  private final PeerServer server =
      PeerServer.start(
          PEER,
          SocketEndpoint.of("127.0.0.1", 0),
          group,
          PeerSettings.defaults(),
          security(TestFiles.FIRST),
          (from, message) -> senders.add(from));

  @AfterEach
  void stop() {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /**
   * Guards against host name verification, which would reject valid certificates because hosts
   * connect by IP address.
   */
  @Test
  void shouldAcceptPeerOfTheSameAuthority() throws InterruptedException {
    assertThat(senderAfter(security(TestFiles.SECOND))).isEqualTo(SELF);
  }

  /** Guards against a server that accepts a peer without a certificate that it can verify. */
  @Test
  void shouldRefusePeersWithoutCertificateOfTheAuthority() throws Exception {
    TlsMaterial otherAuthority = material(TestFiles.OTHER_AUTHORITY);
    SSLContext unverifiable = ((JdkSslContext) otherAuthority.clientContext()).context();
    SSLContext withoutCertificate = SSLContext.getInstance("TLS");
    withoutCertificate.init(
        null, new TrustManager[] {PeerTrustManager.of(otherAuthority.authorities())}, null);

    for (SSLContext context : List.of(unverifiable, withoutCertificate)) {
      sendUntilClosed(context.getSocketFactory());
      assertThat(senders).isEmpty();
    }
  }

  /** Guards against sending messages to another server that listens at the address of a peer. */
  @Test
  void shouldNotSendToPeerOfAnotherAuthority() throws Exception {
    BlockingQueue<EntryHostId> received = new LinkedBlockingQueue<>();
    try (PeerServer impostor =
            PeerServer.start(
                PEER,
                SocketEndpoint.of("127.0.0.1", 0),
                group,
                PeerSettings.defaults(),
                security(TestFiles.OTHER_AUTHORITY),
                (from, message) -> received.add(from));
        PeerClient client = client(security(TestFiles.SECOND), impostor)) {
      assertThat(client.send(PEER, MESSAGE).toCompletableFuture().join())
          .isEqualTo(SendOutcome.DROPPED);
    }
    assertThat(received).isEmpty();
  }

  @Test
  void shouldRefusePlainText() throws IOException {
    sendUntilClosed(SocketFactory.getDefault());

    assertThat(senders).isEmpty();
  }

  /** Sends a valid message and waits until the server closes the connection. */
  private void sendUntilClosed(SocketFactory factory) throws IOException {
    byte[] body = PeerCodec.encode(PeerEnvelope.of(SELF, PEER, MESSAGE));
    try (Socket socket = factory.createSocket("127.0.0.1", server.endpoint().port())) {
      DataOutputStream output = new DataOutputStream(socket.getOutputStream());
      output.writeInt(body.length);
      output.write(body);
      output.flush();
      socket.getInputStream().readAllBytes();
    } catch (SSLException | SocketException e) {
      // The server closes the connection with an alert or a reset, depending on what it has read.
    }
  }

  private static TlsMaterial material(TlsFiles files) {
    return TlsLoader.load(files, InstantSource.system().instant(), (setting, detail) -> {})
        .orElseThrow();
  }

  private EntryHostId senderAfter(PeerSecurity security) throws InterruptedException {
    try (PeerClient client = client(security, server)) {
      client.send(PEER, MESSAGE);
      return senders.take();
    }
  }

  private PeerClient client(PeerSecurity security, PeerServer to) {
    return PeerClient.of(
        SELF,
        host -> Optional.of(to.endpoint()),
        group,
        PeerSettings.defaults(),
        security,
        RandomSource.system());
  }

  private static PeerSecurity security(TlsFiles files) {
    TlsContexts contexts = TlsContexts.load("peer.tls", files, InstantSource.system());
    return MutualTls.of(contexts::serverContext, contexts::clientContext);
  }
}

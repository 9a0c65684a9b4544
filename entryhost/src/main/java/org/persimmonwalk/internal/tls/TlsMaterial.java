package org.persimmonwalk.internal.tls;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.util.List;
import javax.net.ssl.SSLException;

/**
 * The checked certificates and private key from which TLS contexts are built.
 *
 * @param chain the certificate of this host, followed by those of its issuers
 * @param key the private key of the first certificate
 * @param authorities certificates that verify the other side; empty if it needs no certificate
 */
record TlsMaterial(List<X509Certificate> chain, PrivateKey key, List<X509Certificate> authorities) {
  private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

  /** Copies the lists. */
  TlsMaterial {
    chain = List.copyOf(chain);
    authorities = List.copyOf(authorities);
  }

  /** Returns a context for accepted connections. */
  SslContext serverContext() throws SSLException {
    SslContextBuilder builder = SslContextBuilder.forServer(key, chain);
    if (!authorities.isEmpty()) {
      builder.trustManager(PeerTrustManager.of(authorities)).clientAuth(ClientAuth.REQUIRE);
    }
    return builder.sslProvider(SslProvider.JDK).protocols(PROTOCOLS).build();
  }

  /**
   * Returns a context for outgoing connections. Host names are not verified, because hosts connect
   * to each other by IP address.
   */
  SslContext clientContext() throws SSLException {
    return SslContextBuilder.forClient()
        .keyManager(key, chain)
        .trustManager(PeerTrustManager.of(authorities))
        .endpointIdentificationAlgorithm("")
        .sslProvider(SslProvider.JDK)
        .protocols(PROTOCOLS)
        .build();
  }
}

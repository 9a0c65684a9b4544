package org.persimmonwalk.internal.tls;

import java.io.IOException;
import java.net.Socket;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.CertificateException;
import java.security.cert.X509Certificate;
import java.util.List;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509ExtendedTrustManager;

/**
 * Verifies the certificates of the other side against the configured authorities. The JDK does not
 * check the validity period of a certificate that is itself one of the authorities, so this class
 * checks it in every case.
 */
final class PeerTrustManager extends X509ExtendedTrustManager {
  private final X509ExtendedTrustManager delegate;

  private PeerTrustManager(X509ExtendedTrustManager delegate) {
    this.delegate = delegate;
  }

  static PeerTrustManager of(List<X509Certificate> authorities) {
    try {
      KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
      store.load(null, null);
      for (int i = 0; i < authorities.size(); i++) {
        store.setCertificateEntry("authority-" + i, authorities.get(i));
      }
      TrustManagerFactory factory =
          TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
      factory.init(store);
      return new PeerTrustManager((X509ExtendedTrustManager) factory.getTrustManagers()[0]);
    } catch (GeneralSecurityException | IOException e) {
      throw new IllegalStateException(
          "the certificates of the authorities cannot be added to a key store", e);
    }
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String type, SSLEngine engine)
      throws CertificateException {
    chain[0].checkValidity();
    delegate.checkClientTrusted(chain, type, engine);
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String type, SSLEngine engine)
      throws CertificateException {
    chain[0].checkValidity();
    delegate.checkServerTrusted(chain, type, engine);
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String type, Socket socket)
      throws CertificateException {
    chain[0].checkValidity();
    delegate.checkClientTrusted(chain, type, socket);
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String type, Socket socket)
      throws CertificateException {
    chain[0].checkValidity();
    delegate.checkServerTrusted(chain, type, socket);
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String type) throws CertificateException {
    chain[0].checkValidity();
    delegate.checkClientTrusted(chain, type);
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String type) throws CertificateException {
    chain[0].checkValidity();
    delegate.checkServerTrusted(chain, type);
  }

  @Override
  public X509Certificate[] getAcceptedIssuers() {
    return delegate.getAcceptedIssuers();
  }
}

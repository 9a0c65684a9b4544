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
 * Verifies certificates against authorities. The JDK accepts a certificate that is itself among the
 * authorities without a look at its dates, so they are checked here in every case.
 */
final class PeerTrustManager extends X509ExtendedTrustManager {
  private final X509ExtendedTrustManager standard;

  private PeerTrustManager(X509ExtendedTrustManager standard) {
    this.standard = standard;
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
      throw new IllegalStateException("the authorities cannot be put into a key store", e);
    }
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String type, SSLEngine engine)
      throws CertificateException {
    chain[0].checkValidity();
    standard.checkClientTrusted(chain, type, engine);
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String type, SSLEngine engine)
      throws CertificateException {
    chain[0].checkValidity();
    standard.checkServerTrusted(chain, type, engine);
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String type, Socket socket)
      throws CertificateException {
    chain[0].checkValidity();
    standard.checkClientTrusted(chain, type, socket);
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String type, Socket socket)
      throws CertificateException {
    chain[0].checkValidity();
    standard.checkServerTrusted(chain, type, socket);
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String type) throws CertificateException {
    chain[0].checkValidity();
    standard.checkClientTrusted(chain, type);
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String type) throws CertificateException {
    chain[0].checkValidity();
    standard.checkServerTrusted(chain, type);
  }

  @Override
  public X509Certificate[] getAcceptedIssuers() {
    return standard.getAcceptedIssuers();
  }
}

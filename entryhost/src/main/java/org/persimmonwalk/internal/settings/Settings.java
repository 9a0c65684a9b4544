package org.persimmonwalk.internal.settings;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.internal.tls.TlsFiles;
import org.persimmonwalk.model.SocketEndpoint;

/** The settings of an entry host. */
public record Settings(
    Host host,
    Caller caller,
    Backend backend,
    Peer peer,
    Platform platform,
    Admin admin,
    Trace trace) {

  /** Who this entry host is. */
  public record Host(EntryHostId id, AvailabilityZone zone) {}

  /**
   * How callers connect.
   *
   * @param listen where the host listens for callers
   * @param maximumConnections callers that may be connected at once
   * @param maximumMessageBytes the largest message of a caller, in bytes
   * @param messageTimeout how long the rest of a message may take to arrive
   * @param statementDeadline how long a statement may wait before it starts
   * @param confirmationTimeout how long a write may wait for a replica's confirmation
   * @param tls how TLS is offered; without it callers connect in plain text
   */
  public record Caller(
      SocketEndpoint listen,
      int maximumConnections,
      int maximumMessageBytes,
      Duration messageTimeout,
      Duration statementDeadline,
      Duration confirmationTimeout,
      Optional<CallerTls> tls) {}

  /**
   * How TLS is offered to callers.
   *
   * @param files the certificate and its key
   * @param required whether callers in plain text are refused
   */
  public record CallerTls(TlsFiles files, boolean required) {}

  /**
   * How the host logs in to backend servers.
   *
   * @param user the user name
   * @param password the password
   * @param connectTimeout how long a connection may take to open
   * @param answerTimeout how long a backend server may stay silent while it owes an answer
   */
  public record Backend(
      String user, String password, Duration connectTimeout, Duration answerTimeout) {}

  /**
   * How the host meets other entry hosts.
   *
   * @param listen where the host listens for them
   * @param tls the files of mutual TLS; without them hosts meet in plain text
   */
  public record Peer(SocketEndpoint listen, Optional<TlsFiles> tls) {}

  /**
   * Where the platform's service is.
   *
   * @param endpoint the endpoint of the service, which speaks HTTP
   * @param timeout how long the service may take to answer
   */
  public record Platform(SocketEndpoint endpoint, Duration timeout) {}

  /** Where the administration interface listens. */
  public record Admin(SocketEndpoint listen, Optional<String> token) {}

  /**
   * What is traced.
   *
   * @param sampleRatio the part of the traces that is written to the log, from 0 to 1
   */
  public record Trace(double sampleRatio) {}
}

package org.persimmonwalk.internal.settings;

import java.time.Duration;
import java.util.Optional;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.internal.tls.TlsFiles;
import org.persimmonwalk.model.SocketEndpoint;

/** The settings of an entry host, as checked by {@link SettingsReader}. */
public record Settings(
    Host host,
    Caller caller,
    Backend backend,
    Peer peer,
    Platform platform,
    Admin admin,
    Trace trace) {

  /** The identity of this entry host. */
  public record Host(EntryHostId id, AvailabilityZone zone) {}

  /**
   * The connections of callers.
   *
   * @param listen the endpoint on which the host listens for callers
   * @param maximumConnections callers that may be connected at the same time
   * @param maximumMessageBytes the largest message of a caller, in bytes
   * @param messageTimeout how long the rest of a message may take to arrive
   * @param statementDeadline how long a statement may wait before it starts
   * @param confirmationTimeout how long a write may wait for a replica's confirmation
   * @param tls how TLS is offered; if empty, callers connect in plain text
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
   * @param required whether callers that connect in plain text are refused
   */
  public record CallerTls(TlsFiles files, boolean required) {}

  /**
   * The connections to backend servers.
   *
   * @param user the user name of the entry host at the backend servers
   * @param password the password of this user
   * @param connectTimeout how long opening a connection may take
   * @param answerTimeout how long a backend server may take for one complete answer
   */
  public record Backend(
      String user, String password, Duration connectTimeout, Duration answerTimeout) {}

  /**
   * The connections between entry hosts.
   *
   * @param listen the endpoint on which the host listens for other entry hosts
   * @param tls the files for mutual TLS; if empty, hosts connect in plain text
   */
  public record Peer(SocketEndpoint listen, Optional<TlsFiles> tls) {}

  /**
   * The connection to the platform.
   *
   * @param endpoint the endpoint of the platform's HTTP service
   * @param timeout how long the service may take to respond
   */
  public record Platform(SocketEndpoint endpoint, Duration timeout) {}

  /**
   * The administration interface.
   *
   * @param listen the endpoint on which the host listens for operators
   * @param token the operator token; if empty, only requests from loopback addresses are accepted
   */
  public record Admin(SocketEndpoint listen, Optional<String> token) {}

  /**
   * The tracing of statements.
   *
   * @param sampleRatio the fraction of the traces that is written to the log, from 0 to 1
   */
  public record Trace(double sampleRatio) {}
}

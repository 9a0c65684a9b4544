package org.persimmonwalk.internal.operator.command;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/** The options that every subcommand has. */
public final class CommonOptions {
  private static final int MAXIMUM_TOKEN_BYTES = 4 * 1024;
  private static final int MAXIMUM_WAIT_SECONDS = 24 * 3_600;

  @Option(name = "--platform", metaVar = "URL", usage = "the platform, http://ADDRESS:PORT")
  private String platform;

  @Option(
      name = "--hosts",
      metaVar = "LIST",
      usage =
          "admin endpoints ADDRESS:PORT of entry hosts, comma-separated, or @FILE with one a line")
  private String hosts;

  @Option(name = "--token-file", metaVar = "FILE", usage = "file that holds the operator token")
  private Path tokenFile;

  @Option(name = "--output", usage = "how to print results")
  private OutputForm output = OutputForm.TEXT;

  @Option(name = "--wait", usage = "wait until all hosts of --hosts have the new revision")
  private boolean wait;

  @Option(name = "--wait-seconds", metaVar = "N", usage = "the longest wait of --wait, in seconds")
  private int waitSeconds = 60;

  @Option(name = "--help", help = true, usage = "print this help")
  private boolean help;

  /** How results are printed. */
  public enum OutputForm {
    TEXT,
    JSON
  }

  /** Returns whether only help is asked for. */
  public boolean isHelp() {
    return help;
  }

  /** Returns how to print results. */
  public OutputForm output() {
    return output;
  }

  /** Returns whether to wait until a revision is in force everywhere. */
  public boolean isWaiting() {
    return wait;
  }

  /** Returns the longest wait. */
  public Duration waitLimit() {
    return Duration.ofSeconds(waitSeconds);
  }

  /** Returns whether the platform is named. */
  public boolean hasPlatform() {
    return platform != null;
  }

  /**
   * Checks the values that no subcommand may have wrong.
   *
   * @throws PersimmonwalkException with code {@link ResultCode#COMMAND_LINE_INVALID}
   */
  public void check() {
    if (waitSeconds < 1 || waitSeconds > MAXIMUM_WAIT_SECONDS) {
      throw invalid("--wait-seconds is not from 1 to " + MAXIMUM_WAIT_SECONDS);
    }
    if (wait) {
      hostEndpoints();
    }
    if (platform != null) {
      platformEndpoint();
    }
  }

  /**
   * Returns where the platform is.
   *
   * @throws PersimmonwalkException with code {@link ResultCode#COMMAND_LINE_INVALID}
   */
  public SocketEndpoint platformEndpoint() {
    if (platform == null) {
      throw invalid("--platform is missing; name the platform, such as http://10.0.0.5:8080");
    }
    try {
      URI uri = URI.create(platform);
      boolean usable =
          "http".equals(uri.getScheme())
              && uri.getHost() != null
              && uri.getPort() > 0
              && (uri.getPath().isEmpty() || uri.getPath().equals("/"));
      if (usable) {
        return SocketEndpoint.of(uri.getHost(), uri.getPort());
      }
    } catch (IllegalArgumentException e) {
      throw invalid("--platform '" + platform + "' is not of the form http://ADDRESS:PORT");
    }
    throw invalid("--platform '" + platform + "' is not of the form http://ADDRESS:PORT");
  }

  /**
   * Returns the administration endpoints of the entry hosts.
   *
   * @throws PersimmonwalkException with code {@link ResultCode#COMMAND_LINE_INVALID}
   */
  public List<SocketEndpoint> hostEndpoints() {
    if (hosts == null) {
      throw invalid("--hosts is missing; name admin endpoints, such as 10.0.0.1:8432");
    }
    List<SocketEndpoint> endpoints = new ArrayList<>();
    for (String text : hostTexts()) {
      if (!text.isBlank()) {
        endpoints.add(endpoint(text.strip()));
      }
    }
    if (endpoints.isEmpty()) {
      throw invalid("--hosts names no endpoint; name at least one, such as 10.0.0.1:8432");
    }
    return endpoints;
  }

  /**
   * Returns the operator token, if a file with one is named.
   *
   * @throws PersimmonwalkException with code {@link ResultCode#SETTING_UNREADABLE}
   */
  public Optional<String> token() {
    if (tokenFile == null) {
      return Optional.empty();
    }
    try (InputStream input = Files.newInputStream(tokenFile)) {
      byte[] content = input.readNBytes(MAXIMUM_TOKEN_BYTES + 1);
      String token = new String(content, StandardCharsets.UTF_8).strip();
      if (content.length <= MAXIMUM_TOKEN_BYTES && token.matches("[\\x21-\\x7e]+")) {
        return Optional.of(token);
      }
    } catch (IOException e) {
      throw PersimmonwalkException.of(
          ResultCode.SETTING_UNREADABLE, "cannot read the token file " + tokenFile, e);
    }
    throw PersimmonwalkException.of(
        ResultCode.SETTING_UNREADABLE,
        "the token file " + tokenFile + " holds no token; write one line of printable ASCII");
  }

  private List<String> hostTexts() {
    if (!hosts.startsWith("@")) {
      return List.of(hosts.split(","));
    }
    try {
      return Files.readAllLines(Path.of(hosts.substring(1)));
    } catch (IOException | RuntimeException e) {
      throw PersimmonwalkException.of(
          ResultCode.COMMAND_LINE_INVALID, "cannot read the list of hosts " + hosts, e);
    }
  }

  private static SocketEndpoint endpoint(String text) {
    try {
      return SocketEndpoint.parse(text);
    } catch (IllegalArgumentException e) {
      throw invalid("--hosts: '" + text + "' is not of the form ADDRESS:PORT");
    }
  }

  private static PersimmonwalkException invalid(String message) {
    return PersimmonwalkException.of(ResultCode.COMMAND_LINE_INVALID, message);
  }
}

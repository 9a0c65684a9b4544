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

/** The options that all subcommands accept; args4j sets the fields. */
public final class CommonOptions {
  private static final int MAXIMUM_TOKEN_BYTES = 4 * 1024;
  private static final int MAXIMUM_WAIT_SECONDS = 24 * 3_600;

  @Option(name = "--platform", metaVar = "URL", usage = "the platform, http://ADDRESS:PORT")
  private String platform;

  @Option(
      name = "--hosts",
      metaVar = "LIST",
      usage =
          "comma-separated admin endpoints ADDRESS:PORT of entry hosts, or @FILE with one per line")
  private String hosts;

  @Option(name = "--token-file", metaVar = "FILE", usage = "file that holds the operator token")
  private Path tokenFile;

  @Option(name = "--output", usage = "how to print results")
  private OutputFormat output = OutputFormat.TEXT;

  @Option(name = "--wait", usage = "wait until all hosts of --hosts have the new revision in force")
  private boolean wait;

  @Option(
      name = "--wait-seconds",
      metaVar = "N",
      usage = "the time limit for --wait and for polling hosts, in seconds")
  private int waitSeconds = 60;

  @Option(name = "--help", help = true, usage = "print this help")
  private boolean help;

  /** The format in which results are printed; the names are the values of {@code --output}. */
  public enum OutputFormat {
    TEXT,
    JSON
  }

  /** Returns whether to print only the help of the subcommand. */
  public boolean isHelp() {
    return help;
  }

  /** Returns the format in which to print results. */
  public OutputFormat output() {
    return output;
  }

  /** Returns whether to wait until a published revision is in force on all hosts. */
  public boolean waitsForRevision() {
    return wait;
  }

  /** Returns the time limit for polling hosts, both with {@code --wait} and without. */
  public Duration waitLimit() {
    return Duration.ofSeconds(waitSeconds);
  }

  /** Returns whether {@code --platform} is given. */
  public boolean hasPlatform() {
    return platform != null;
  }

  /**
   * Checks the options whose values must be valid for every subcommand.
   *
   * @throws PersimmonwalkException with code {@link ResultCode#COMMAND_LINE_INVALID}
   */
  public void check() {
    if (waitSeconds < 1 || waitSeconds > MAXIMUM_WAIT_SECONDS) {
      throw invalid(
          "--wait-seconds must be from 1 to " + MAXIMUM_WAIT_SECONDS + ", not " + waitSeconds);
    }
    if (wait) {
      hostEndpoints();
    }
    if (platform != null) {
      platformEndpoint();
    }
  }

  /**
   * Returns the endpoint of the platform.
   *
   * @throws PersimmonwalkException with code {@link ResultCode#COMMAND_LINE_INVALID}
   */
  public SocketEndpoint platformEndpoint() {
    if (platform == null) {
      throw invalid("--platform is missing; give its URL, such as http://10.0.0.5:8080");
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
      throw invalid(
          "--hosts is missing; give admin endpoints of entry hosts, such as 10.0.0.1:8432");
    }
    List<SocketEndpoint> endpoints = new ArrayList<>();
    for (String text : hostTexts()) {
      if (!text.isBlank()) {
        endpoints.add(endpoint(text.strip()));
      }
    }
    if (endpoints.isEmpty()) {
      throw invalid("--hosts has no endpoint; give at least one, such as 10.0.0.1:8432");
    }
    return endpoints;
  }

  /**
   * Returns the operator token, if {@code --token-file} is given.
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
          ResultCode.SETTING_UNREADABLE,
          "cannot read the token file " + tokenFile + "; check its path and permissions",
          e);
    }
    throw PersimmonwalkException.of(
        ResultCode.SETTING_UNREADABLE,
        "the token file " + tokenFile + " holds no valid token; write one word of printable ASCII");
  }

  private List<String> hostTexts() {
    if (!hosts.startsWith("@")) {
      return List.of(hosts.split(","));
    }
    try {
      return Files.readAllLines(Path.of(hosts.substring(1)));
    } catch (IOException | RuntimeException e) {
      throw PersimmonwalkException.of(
          ResultCode.COMMAND_LINE_INVALID,
          "cannot read the list of hosts " + hosts + "; check its path and permissions",
          e);
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

package org.persimmonwalk.internal.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.internal.tls.TlsFiles;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;

/**
 * Reads the settings file and checks the whole file, so that one run reports every fault.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Settings settings = SettingsReader.create().read(Path.of("entryhost.yaml"));
 * }</pre>
 */
public final class SettingsReader {
  private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());
  private static final int LARGEST_ALLOWED_MESSAGE_BYTES = 1 << 30;

  private SettingsReader() {}

  /** Returns the reader. */
  public static SettingsReader create() {
    return new SettingsReader();
  }

  /**
   * Reads and checks a settings file.
   *
   * @throws PersimmonwalkException if the file cannot be read or has a fault; lists every fault
   */
  public Settings read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw PersimmonwalkException.of(
          ResultCode.SETTING_UNREADABLE, "cannot read " + file + ": " + e.getMessage(), e);
    }
  }

  /**
   * Reads and checks the text of a settings file.
   *
   * @throws PersimmonwalkException if the text is not YAML or has a fault; lists every fault
   */
  public Settings parse(String text) {
    JsonNode tree;
    try {
      tree = YAML.readTree(text);
    } catch (JsonProcessingException e) {
      throw PersimmonwalkException.of(
          ResultCode.SETTING_UNREADABLE, "the settings are not valid YAML: " + e.getMessage(), e);
    }
    List<SettingFault> faults = new ArrayList<>();
    SettingsNode root = SettingsNode.root(tree, faults);
    Settings settings =
        new Settings(
            host(root),
            caller(root),
            backend(root),
            peer(root),
            platform(root),
            admin(root),
            trace(root));
    root.rejectUnknownNames();
    if (!faults.isEmpty()) {
      throw failure(faults);
    }
    return settings;
  }

  private static PersimmonwalkException failure(List<SettingFault> faults) {
    String list = faults.stream().map(SettingFault::toString).collect(Collectors.joining("\n  "));
    return PersimmonwalkException.of(
        faults.get(0).code(), "the settings have " + faults.size() + " fault(s):\n  " + list);
  }

  private static Settings.Host host(SettingsNode root) {
    SettingsNode node = root.section("host");
    EntryHostId id = node.value("id", Optional.empty(), EntryHostId::of);
    AvailabilityZone zone = node.value("zone", Optional.empty(), AvailabilityZone::of);
    node.rejectUnknownNames();
    return new Settings.Host(id, zone);
  }

  private static Settings.Caller caller(SettingsNode root) {
    SettingsNode node = root.section("caller");
    Settings.Caller caller =
        new Settings.Caller(
            node.value("listen", Optional.empty(), SocketEndpoint::parse),
            node.integer("maximumConnections", 10_000, 1, 1_000_000),
            node.integer("maximumMessageBytes", 16 << 20, 1_024, LARGEST_ALLOWED_MESSAGE_BYTES),
            node.duration("messageTimeout", Duration.ofSeconds(30)),
            node.duration("statementDeadline", Duration.ofSeconds(10)),
            node.duration("confirmationTimeout", Duration.ofSeconds(10)),
            TlsSettingsReader.of(node).caller());
    node.rejectUnknownNames();
    return caller;
  }

  private static Settings.Backend backend(SettingsNode root) {
    SettingsNode node = root.section("backend");
    Settings.Backend backend =
        new Settings.Backend(
            node.value("user", Optional.empty(), text -> text),
            node.value("password", Optional.empty(), text -> text),
            node.duration("connectTimeout", Duration.ofSeconds(2)),
            node.duration("answerTimeout", Duration.ofSeconds(60)));
    node.rejectUnknownNames();
    return backend;
  }

  private static Settings.Peer peer(SettingsNode root) {
    SettingsNode node = root.section("peer");
    SocketEndpoint listen = node.value("listen", Optional.empty(), SocketEndpoint::parse);
    Optional<TlsFiles> tls = TlsSettingsReader.of(node).peer();
    node.rejectUnknownNames();
    return new Settings.Peer(listen, tls);
  }

  private static Settings.Platform platform(SettingsNode root) {
    SettingsNode node = root.section("platform");
    SocketEndpoint endpoint = node.value("endpoint", Optional.empty(), SocketEndpoint::parse);
    Duration timeout = node.duration("timeout", Duration.ofSeconds(1));
    node.rejectUnknownNames();
    return new Settings.Platform(endpoint, timeout);
  }

  private static Settings.Admin admin(SettingsNode root) {
    SettingsNode node = root.section("admin");
    SocketEndpoint listen = node.value("listen", Optional.empty(), SocketEndpoint::parse);
    Optional<String> token = node.optionalText("token");
    node.rejectUnknownNames();
    return new Settings.Admin(listen, token);
  }

  private static Settings.Trace trace(SettingsNode root) {
    SettingsNode node = root.section("trace");
    Double ratio = node.value("sampleRatio", Optional.of(0.0), SettingsReader::parseRatio);
    node.rejectUnknownNames();
    return new Settings.Trace(ratio == null ? 0 : ratio);
  }

  private static double parseRatio(String text) {
    double value = Double.parseDouble(text);
    if (!(value >= 0 && value <= 1)) {
      throw new IllegalArgumentException("must be a number from 0 to 1");
    }
    return value;
  }
}

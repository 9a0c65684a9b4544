package org.persimmonwalk.internal.tls;

import io.netty.channel.EventLoop;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLException;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;
import org.tinylog.Logger;

/**
 * Creates TLS contexts from certificate files and reloads them when a file changes. New connections
 * then use the new contexts, and open connections are not affected. If a file has a fault, the
 * previous contexts stay in use. The contexts may be read on any thread.
 */
public final class TlsContexts {
  private static final Duration RELOAD_INTERVAL = Duration.ofSeconds(30);

  private final String section;
  private final TlsFiles files;
  private final InstantSource time;
  private volatile Contexts contexts;
  private Map<Path, FileTime> lastModified = Map.of();
  private String lastFaults = "";

  private TlsContexts(String section, TlsFiles files, InstantSource time) {
    this.section = section;
    this.files = files;
    this.time = time;
  }

  /**
   * Loads the files and creates the contexts.
   *
   * @param section the section of the settings that names the files, for example {@code caller.tls}
   * @throws PersimmonwalkException with {@link ResultCode#TLS_FILE_INVALID} if a file has a fault
   */
  public static TlsContexts load(String section, TlsFiles files, InstantSource time) {
    TlsContexts loaded = new TlsContexts(section, files, time);
    loaded.lastModified = loaded.modificationTimes();
    List<String> faults = new ArrayList<>();
    loaded.contexts =
        loaded
            .read(faults)
            .orElseThrow(
                () ->
                    PersimmonwalkException.of(
                        ResultCode.TLS_FILE_INVALID, String.join("; ", faults)));
    return loaded;
  }

  /** Checks for changed files at a fixed interval on the event loop, until the loop shuts down. */
  public void watch(EventLoop loop) {
    long interval = RELOAD_INTERVAL.toMillis();
    loop.scheduleWithFixedDelay(this::reloadIfChanged, interval, interval, TimeUnit.MILLISECONDS);
  }

  /** Returns the current context for accepted connections. */
  public SslContext serverContext() {
    return contexts.server();
  }

  /** Returns the current context for outgoing connections, which requires authorities. */
  public SslContext clientContext() {
    return contexts.client().orElseThrow();
  }

  /**
   * Reloads the files if one has changed, or if the last attempt failed, because a file may have
   * been read while it was being written.
   */
  void reloadIfChanged() {
    Map<Path, FileTime> current = modificationTimes();
    if (current.equals(lastModified) && lastFaults.isEmpty()) {
      return;
    }
    lastModified = current;
    List<String> faults = new ArrayList<>();
    Optional<Contexts> reloaded = read(faults);
    if (reloaded.isPresent()) {
      contexts = reloaded.get();
      Logger.info("{}: the changed certificate files were loaded for new connections", section);
    }
    String text = String.join("; ", faults);
    if (!text.isEmpty() && !text.equals(lastFaults)) {
      Logger.error(
          "{} the changed files are not used, the previous ones stay in use: {}",
          ResultCode.TLS_FILE_INVALID.label(),
          text);
    }
    lastFaults = text;
  }

  private Optional<Contexts> read(List<String> faults) {
    Optional<TlsMaterial> material =
        TlsLoader.load(
            files,
            time.instant(),
            (setting, detail) -> faults.add(section + "." + setting + ": " + detail));
    try {
      return material.isPresent() ? Optional.of(Contexts.of(material.get())) : Optional.empty();
    } catch (SSLException | IllegalArgumentException e) {
      faults.add(section + ": " + e.getMessage());
      return Optional.empty();
    }
  }

  private Map<Path, FileTime> modificationTimes() {
    Map<Path, FileTime> times = new HashMap<>();
    for (Path file : files.all()) {
      try {
        times.put(file, Files.getLastModifiedTime(file));
      } catch (IOException e) {
        Logger.debug("the modification time of {} cannot be read: {}", file, e.getMessage());
      }
    }
    return times;
  }

  /** The contexts of both directions; outgoing connections exist only if there are authorities. */
  private record Contexts(SslContext server, Optional<SslContext> client) {

    static Contexts of(TlsMaterial material) throws SSLException {
      Optional<SslContext> client =
          material.authorities().isEmpty()
              ? Optional.empty()
              : Optional.of(material.clientContext());
      return new Contexts(material.serverContext(), client);
    }
  }
}

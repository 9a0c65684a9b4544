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
 * The TLS contexts made of a set of files. When the files change, new connections use new contexts;
 * open connections go on. Files with a fault leave the contexts as they are.
 */
public final class TlsContexts {
  private static final Duration RELOAD_INTERVAL = Duration.ofSeconds(30);

  private final String section;
  private final TlsFiles files;
  private final InstantSource time;
  private volatile Contexts contexts;
  private Map<Path, FileTime> modified = Map.of();
  private String lastFaults = "";

  private TlsContexts(String section, TlsFiles files, InstantSource time) {
    this.section = section;
    this.files = files;
    this.time = time;
  }

  /**
   * Loads the files.
   *
   * @param section the section of the settings that names the files, for example {@code caller.tls}
   * @throws PersimmonwalkException with {@link ResultCode#TLS_FILE_INVALID} if a file has a fault
   */
  public static TlsContexts load(String section, TlsFiles files, InstantSource time) {
    TlsContexts loaded = new TlsContexts(section, files, time);
    loaded.modified = loaded.modificationTimes();
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

  /** Looks for changed files on the event loop from now on, until the loop ends. */
  public void watch(EventLoop loop) {
    long interval = RELOAD_INTERVAL.toMillis();
    loop.scheduleWithFixedDelay(this::reloadIfChanged, interval, interval, TimeUnit.MILLISECONDS);
  }

  /** Returns the context for a connection that is being accepted. */
  public SslContext accepting() {
    return contexts.accepting();
  }

  /** Returns the context for a connection that is being opened. */
  public SslContext connecting() {
    return contexts.connecting().orElseThrow();
  }

  /**
   * Loads the files if one has changed, or if the last attempt failed, since a file may have been
   * read while it was being written.
   */
  void reloadIfChanged() {
    Map<Path, FileTime> current = modificationTimes();
    if (current.equals(modified) && lastFaults.isEmpty()) {
      return;
    }
    modified = current;
    List<String> faults = new ArrayList<>();
    Optional<Contexts> reloaded = read(faults);
    if (reloaded.isPresent()) {
      contexts = reloaded.get();
      Logger.info("{}: the changed certificates are used for new connections", section);
    }
    String text = String.join("; ", faults);
    if (!text.isEmpty() && !text.equals(lastFaults)) {
      Logger.error(
          "{} the changed files are not used: {}", ResultCode.TLS_FILE_INVALID.label(), text);
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
        Logger.debug("the time of {} cannot be read: {}", file, e.getMessage());
      }
    }
    return times;
  }

  /** The two directions; only a listener with authorities also opens connections. */
  private record Contexts(SslContext accepting, Optional<SslContext> connecting) {

    static Contexts of(TlsMaterial material) throws SSLException {
      Optional<SslContext> connecting =
          material.authorities().isEmpty()
              ? Optional.empty()
              : Optional.of(material.connectingContext());
      return new Contexts(material.acceptingContext(), connecting);
    }
  }
}

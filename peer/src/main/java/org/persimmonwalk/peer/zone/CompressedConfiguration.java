package org.persimmonwalk.peer.zone;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.persimmonwalk.engine.RoutingConfiguration;
import org.persimmonwalk.peer.generated.zone.RoutingConfigurationMessage;

/**
 * The compressed form of a configuration. A relay sends the same configuration to all hosts of its
 * zone, so it is encoded once. Used on one thread.
 */
final class CompressedConfiguration {
  /** The largest configuration that is read, so that a few bytes can't fill the memory. */
  private static final int MAXIMUM_BYTES = 8 * 1024 * 1024;

  private RoutingConfiguration last;
  private ByteString lastBytes = ByteString.EMPTY;

  /** Returns the compressed form of a configuration. */
  ByteString compress(RoutingConfiguration configuration) {
    if (configuration != last) {
      lastBytes = compress(RoutingConfigurationCodec.encode(configuration));
      last = configuration;
    }
    return lastBytes;
  }

  private static ByteString compress(RoutingConfigurationMessage message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DeflaterOutputStream out = new DeflaterOutputStream(bytes)) {
      message.writeTo(out);
    } catch (IOException e) {
      throw new UncheckedIOException("the configuration cannot be compressed", e);
    }
    return ByteString.copyFrom(bytes.toByteArray());
  }

  /**
   * Reads a compressed configuration.
   *
   * @throws IllegalArgumentException if the bytes are not one, or it is too large
   */
  static RoutingConfiguration decompress(ByteString compressed) {
    try (InflaterInputStream in = new InflaterInputStream(compressed.newInput())) {
      CodedInputStream limited = CodedInputStream.newInstance(in);
      limited.setSizeLimit(MAXIMUM_BYTES);
      return RoutingConfigurationCodec.decode(RoutingConfigurationMessage.parseFrom(limited));
    } catch (IOException e) {
      throw new IllegalArgumentException("the compressed configuration is invalid: " + e, e);
    }
  }
}

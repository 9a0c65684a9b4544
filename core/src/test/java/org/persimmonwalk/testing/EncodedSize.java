package org.persimmonwalk.testing;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.function.ToLongFunction;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.BackendServer;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.model.ConfigurationReply;
import org.persimmonwalk.model.ConfigurationRequest;
import org.persimmonwalk.model.DatabaseGroup;
import org.persimmonwalk.model.Heartbeat;
import org.persimmonwalk.model.HostEntry;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.PeerMessage;
import org.persimmonwalk.model.RelayedHostState;
import org.persimmonwalk.model.SocketEndpoint;
import org.persimmonwalk.model.Workspace;

/**
 * Computes the size of a frame of the peer protocol without the encoder, which is in the module
 * peer and cannot be used from the module core. A test of the module peer compares the two.
 */
public final class EncodedSize implements MessageSize {
  private static final int LENGTH_PREFIX = 4;

  /** A field tag and eight bytes. */
  private static final int FIXED64_FIELD = 9;

  /** A field tag, a length byte and the 32 bytes of a key hash. */
  private static final int KEY_HASH_FIELD = 34;

  private EncodedSize() {}

  /** Returns an instance that computes sizes. */
  public static EncodedSize create() {
    return new EncodedSize();
  }

  @Override
  public long of(EntryHostId from, EntryHostId to, PeerMessage message) {
    return LENGTH_PREFIX + text(from.value()) + text(to.value()) + nested(body(message));
  }

  private static long body(PeerMessage message) {
    if (message instanceof Heartbeat heartbeat) {
      return heartbeat(heartbeat);
    }
    if (message instanceof ConfigurationRequest request) {
      return number(request.known().number()) + time(request.sentAt());
    }
    if (message instanceof ConfigurationReply reply) {
      return nested(configuration(reply.configuration()))
          + reply.freshnessAge().map(age -> 1 + varint(age.toMillis())).orElse(0L)
          + time(reply.echoedSentAt());
    }
    throw new IllegalArgumentException(
        "the size of this type of peer message is not implemented: " + message);
  }

  private static long heartbeat(Heartbeat heartbeat) {
    return nested(host(heartbeat.sender()))
        + number(heartbeat.revision().number())
        + heartbeat.freshnessAge().map(age -> 1 + varint(age.toMillis())).orElse(0L)
        + time(heartbeat.sentAt())
        + (heartbeat.echoedSentAt().isPresent() ? FIXED64_FIELD : 0)
        + repeated(heartbeat.relayedHosts(), EncodedSize::relayedHost)
        + repeated(
            heartbeat.demand().entrySet(),
            entry -> text(entry.getKey().value()) + decimal(entry.getValue()));
  }

  private static long relayedHost(RelayedHostState relayed) {
    return nested(host(relayed.host())) + number(relayed.age().toMillis());
  }

  private static long host(HostEntry host) {
    return text(host.id().value())
        + text(host.zone().value())
        + endpoint(host.endpoint())
        + flag(host.leaving());
  }

  private static long configuration(Configuration configuration) {
    return number(configuration.revision().number())
        + text(configuration.note().value())
        + repeated(configuration.workspaces().values(), EncodedSize::workspace)
        + repeated(
            configuration.keys().values(), key -> KEY_HASH_FIELD + text(key.workspace().value()))
        + repeated(configuration.groups().values(), EncodedSize::group);
  }

  private static long workspace(Workspace workspace) {
    return text(workspace.id().value())
        + decimal(workspace.rate())
        + decimal(workspace.burst())
        + workspace.groups().stream().mapToLong(group -> text(group.value())).sum()
        + flag(workspace.open());
  }

  private static long group(DatabaseGroup group) {
    return text(group.id().value())
        + repeated(group.servers(), EncodedSize::server)
        + number(group.defaultMaximumAge().toMillis());
  }

  private static long server(BackendServer server) {
    return text(server.id().value())
        + text(server.zone().value())
        + endpoint(server.endpoint())
        + number(server.slots())
        + number(server.connections())
        + flag(server.leaving());
  }

  private static long endpoint(SocketEndpoint endpoint) {
    return text(endpoint.address()) + number(endpoint.port());
  }

  private static <T> long repeated(Collection<T> items, ToLongFunction<T> size) {
    return items.stream().mapToLong(item -> nested(size.applyAsLong(item))).sum();
  }

  private static long nested(long length) {
    return 1 + varint(length) + length;
  }

  private static long text(String text) {
    int length = text.getBytes(StandardCharsets.UTF_8).length;
    return length == 0 ? 0 : nested(length);
  }

  private static long number(long value) {
    return value == 0 ? 0 : 1 + varint(value);
  }

  private static long decimal(double value) {
    return value == 0 ? 0 : FIXED64_FIELD;
  }

  private static long time(MonotonicTime time) {
    return time.nanoseconds() == 0 ? 0 : FIXED64_FIELD;
  }

  private static long flag(boolean value) {
    return value ? 2 : 0;
  }

  private static long varint(long value) {
    long length = 1;
    for (long rest = value >>> 7; rest != 0; rest >>>= 7) {
      length++;
    }
    return length;
  }
}

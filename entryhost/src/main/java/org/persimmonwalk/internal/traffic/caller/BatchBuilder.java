package org.persimmonwalk.internal.traffic.caller;

import io.netty.buffer.ByteBufAllocator;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.persimmonwalk.internal.traffic.caller.PreparedStatements.Prepared;
import org.persimmonwalk.result.PersimmonwalkException;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.wire.Frame;
import org.persimmonwalk.wire.FrameWriter;
import org.persimmonwalk.wire.MessageType;
import org.persimmonwalk.wire.PayloadReader;

/**
 * Collects the messages of a caller into batches. Named statements are replaced by the unnamed one,
 * which is prepared again in each batch that needs it.
 */
final class BatchBuilder {
  private static final int MAXIMUM_BATCH_BYTES = 64 << 20;

  private final ByteBufAllocator allocator;
  private final PreparedStatements prepared;
  private final Map<String, String> portals = new HashMap<>();
  private final List<Frame> frames = new ArrayList<>();
  private final List<Boolean> hiddenParses = new ArrayList<>();
  private final List<String> statements = new ArrayList<>();
  private Optional<String> lastParsed = Optional.empty();
  private boolean describes;
  private int bytes;

  private BatchBuilder(ByteBufAllocator allocator, PreparedStatements prepared) {
    this.allocator = allocator;
    this.prepared = prepared;
  }

  static BatchBuilder of(ByteBufAllocator allocator, PreparedStatements prepared) {
    return new BatchBuilder(allocator, prepared);
  }

  /**
   * Adds a message and takes ownership of it.
   *
   * @return the batch, if the message completes it
   * @throws PersimmonwalkException if the message is not supported; the batch is discarded
   */
  Optional<StatementBatch> add(Frame frame) {
    bytes += frame.wireSize();
    if (bytes > MAXIMUM_BATCH_BYTES) {
      throw refuse(frame, ResultCode.MESSAGE_TOO_LARGE, "the messages of one batch exceed 64 MiB");
    }
    switch (frame.type()) {
      case MessageType.QUERY -> addQuery(frame);
      case MessageType.PARSE -> addParse(frame);
      case MessageType.BIND -> addBind(frame);
      case MessageType.DESCRIBE -> addDescribe(frame);
      case MessageType.EXECUTE -> addExecute(frame);
      case MessageType.CLOSE -> addClose(frame);
      case MessageType.SYNC -> frames.add(frame);
      default ->
          throw refuse(
              frame,
              ResultCode.UNSUPPORTED,
              "message type '" + (char) frame.type() + "' is not supported");
    }
    boolean complete = frame.is(MessageType.QUERY) || frame.is(MessageType.SYNC);
    return complete ? Optional.of(endBatch(frame.is(MessageType.QUERY))) : Optional.empty();
  }

  /** Discards the messages collected so far. */
  void discard() {
    frames.forEach(ReferenceCountUtil::release);
    clear();
  }

  /** Removes the portals, which end with the transaction. */
  void clearPortals() {
    portals.clear();
  }

  private void addQuery(Frame frame) {
    frames.add(frame);
    statements.add(PayloadReader.of(frame).readString());
  }

  private void addParse(Frame frame) {
    String name;
    try {
      name = prepared.prepare(frame);
    } finally {
      frame.release();
    }
    insertParse(name, false);
  }

  private void addBind(Frame frame) {
    try {
      PayloadReader reader = PayloadReader.of(frame);
      String portal = reader.readString();
      String name = reader.readString();
      useStatement(name);
      portals.put(portal, find(name).text());
      frames.add(rebind(frame, portal, name));
    } finally {
      frame.release();
    }
  }

  private Frame rebind(Frame frame, String portal, String name) {
    int skipped = encodedLength(portal) + encodedLength(name);
    return FrameWriter.of(allocator, MessageType.BIND)
        .string(portal)
        .string("")
        .bytes(frame.content(), skipped)
        .toFrame();
  }

  private void addDescribe(Frame frame) {
    describes = true;
    PayloadReader reader = PayloadReader.of(frame);
    if (!frame.content().isReadable() || reader.readByte() != 'S') {
      frames.add(frame);
      return;
    }
    try {
      useStatement(reader.readString());
    } finally {
      frame.release();
    }
    frames.add(FrameWriter.of(allocator, MessageType.DESCRIBE).byteValue('S').string("").toFrame());
  }

  private void addExecute(Frame frame) {
    frames.add(frame);
    String portal = PayloadReader.of(frame).readString();
    statements.add(portals.getOrDefault(portal, ""));
  }

  private void addClose(Frame frame) {
    frames.add(frame);
    PayloadReader reader = PayloadReader.of(frame);
    if (reader.readByte() == 'S') {
      prepared.close(reader.readString());
    }
  }

  private void useStatement(String name) {
    find(name);
    if (!lastParsed.equals(Optional.of(name))) {
      insertParse(name, true);
    }
  }

  private void insertParse(String name, boolean hidden) {
    frames.add(find(name).toFrame(allocator));
    hiddenParses.add(hidden);
    lastParsed = Optional.of(name);
  }

  private Prepared find(String name) {
    return prepared
        .find(name)
        .orElseThrow(
            () ->
                PersimmonwalkException.of(
                    ResultCode.MALFORMED_MESSAGE,
                    "prepared statement '" + name + "' does not exist; prepare it first"));
  }

  private StatementBatch endBatch(boolean simple) {
    StatementBatch batch = new StatementBatch(frames, hiddenParses, statements, simple, describes);
    clear();
    return batch;
  }

  private void clear() {
    frames.clear();
    hiddenParses.clear();
    statements.clear();
    lastParsed = Optional.empty();
    describes = false;
    bytes = 0;
  }

  private static int encodedLength(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length + 1;
  }

  private static PersimmonwalkException refuse(Frame frame, ResultCode code, String detail) {
    frame.release();
    return PersimmonwalkException.of(code, detail);
  }
}

package org.persimmonwalk.internal.traffic.caller;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.result.ResultCode;
import org.persimmonwalk.wire.ErrorFields;
import org.persimmonwalk.wire.Frame;
import org.persimmonwalk.wire.MessageType;
import org.persimmonwalk.wire.Messages;
import org.persimmonwalk.wire.TransactionStatus;

/** Writes the messages that this host itself creates, such as errors, to a caller. */
final class CallerWriter {
  private static final String FAILED_TRANSACTION = "25P02";

  private final Channel channel;
  private final Messages messages;

  private CallerWriter(Channel channel) {
    this.channel = channel;
    this.messages = Messages.of(channel.alloc());
  }

  static CallerWriter of(Channel channel) {
    return new CallerWriter(channel);
  }

  Messages messages() {
    return messages;
  }

  /** Writes an error; the connection stays open. */
  void error(ResultCode code, String detail) {
    channel.write(messages.error(ErrorFields.error(code.sqlState(), text(code, detail))));
  }

  /** Writes the error for a statement in a failed transaction, which the caller must roll back. */
  void failedTransaction() {
    channel.write(
        messages.error(
            ErrorFields.error(
                FAILED_TRANSACTION, "the transaction has failed; end it with ROLLBACK (not run)")));
  }

  /** Sends an error and closes the connection. */
  void fatal(ResultCode code, String detail) {
    channel
        .writeAndFlush(messages.error(ErrorFields.fatal(code.sqlState(), text(code, detail))))
        .addListener(ChannelFutureListener.CLOSE);
  }

  void position(GroupPosition position) {
    channel.write(messages.parameterStatus(HostParameters.POSITION, position.toString()));
  }

  /** Ends an answer and flushes it. */
  void ready(TransactionStatus status) {
    channel.writeAndFlush(messages.readyForQuery(status));
  }

  /** Answers a batch of one statement that this host has carried out itself. */
  void localAnswer(StatementBatch batch, String tag, TransactionStatus status) {
    int parses = 0;
    for (Frame frame : batch.frames()) {
      switch (frame.type()) {
        case MessageType.PARSE -> {
          if (!batch.hiddenParses().get(parses++)) {
            channel.write(messages.empty(MessageType.PARSE_COMPLETE));
          }
        }
        case MessageType.BIND -> channel.write(messages.empty(MessageType.BIND_COMPLETE));
        case MessageType.DESCRIBE -> describeNoData(frame);
        case MessageType.CLOSE -> channel.write(messages.empty(MessageType.CLOSE_COMPLETE));
        case MessageType.EXECUTE, MessageType.QUERY -> channel.write(messages.commandComplete(tag));
        default -> {
          // The sync is answered below.
        }
      }
    }
    ready(status);
  }

  private void describeNoData(Frame describe) {
    if (describe.content().getByte(describe.content().readerIndex()) == 'S') {
      channel.write(messages.noParameters());
    }
    channel.write(messages.empty(MessageType.NO_DATA));
  }

  private static String text(ResultCode code, String detail) {
    return detail.isEmpty() ? code.message() : code.message() + ": " + detail;
  }
}

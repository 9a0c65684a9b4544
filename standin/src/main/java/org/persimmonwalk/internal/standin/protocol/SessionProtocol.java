package org.persimmonwalk.internal.standin.protocol;

import io.netty.buffer.ByteBufAllocator;
import java.util.ArrayList;
import java.util.List;
import org.persimmonwalk.internal.standin.engine.Execution;
import org.persimmonwalk.internal.standin.engine.Session;
import org.persimmonwalk.internal.standin.engine.SqlException;
import org.persimmonwalk.internal.standin.engine.SqlParser;
import org.persimmonwalk.internal.standin.engine.Statement;
import org.persimmonwalk.internal.standin.engine.StatementTask;
import org.persimmonwalk.wire.ErrorFields;
import org.persimmonwalk.wire.Frame;
import org.persimmonwalk.wire.FrameWriter;
import org.persimmonwalk.wire.MessageType;
import org.persimmonwalk.wire.Messages;
import org.persimmonwalk.wire.TransactionStatus;

/**
 * Handles the simple and extended query protocol of one session after log-in. Used on the
 * connection's event loop; statements run on the engine thread, and the connection handles no
 * further message until their outcome is back.
 */
final class SessionProtocol {
  private static final String ADMIN_SHUTDOWN = "57P01";

  /** The operations that the protocol needs from its connection. */
  interface Connection {

    /** Queues a frame for the next flush. */
    void send(Frame frame);

    /** Sends the queued frames. */
    void flush();

    /** Sends the first half of the frames' bytes, then closes the connection. */
    void sendTruncated(List<Frame> frames);

    /** Closes the connection after the queued frames have been sent. */
    void close();

    /** Stops handling messages until {@link #resume()}. */
    void suspend();

    /** Continues with the next message. */
    void resume();

    /** Runs an action on the engine thread. */
    void onEngineThread(Runnable action);

    /** Runs an action on the connection's event loop. */
    void onEventLoop(Runnable action);

    /** Submits a statement; called on the engine thread. */
    void submit(StatementTask task);

    /** Returns the column names of a statement's result; called on the engine thread. */
    List<String> columns(Statement statement);

    /** Marks the open transaction as failed; called on the engine thread. */
    void failTransaction();
  }

  /** Sends the answer of a statement, on the event loop. */
  private interface AnswerAction {
    void accept(Execution.Answer answer, boolean answerLost);
  }

  private final Connection connection;
  private final Session session;
  private final ByteBufAllocator allocator;
  private final Messages messages;
  private final PreparedQueries queries = PreparedQueries.create();
  private TransactionStatus status = TransactionStatus.IDLE;
  private boolean skipToSync;

  private SessionProtocol(Connection connection, Session session, ByteBufAllocator allocator) {
    this.connection = connection;
    this.session = session;
    this.allocator = allocator;
    this.messages = Messages.of(allocator);
  }

  static SessionProtocol create(
      Connection connection, Session session, ByteBufAllocator allocator) {
    return new SessionProtocol(connection, session, allocator);
  }

  void handle(ClientMessage message) {
    if (skipToSync && message.extended()) {
      return;
    }
    try {
      dispatch(message);
    } catch (SqlException failure) {
      connection.onEngineThread(connection::failTransaction);
      if (status == TransactionStatus.IN_TRANSACTION) {
        status = TransactionStatus.FAILED;
      }
      sendFailure(failure);
      if (message.extended()) {
        skipToSync = true;
      } else {
        sendReady();
      }
    }
  }

  private void dispatch(ClientMessage message) {
    if (message instanceof ClientMessage.Query query) {
      runAll(SqlParser.parseAll(query.text()), 0);
    } else if (message instanceof ClientMessage.Parse parse) {
      queries.prepare(parse);
      connection.send(messages.empty(MessageType.PARSE_COMPLETE));
    } else if (message instanceof ClientMessage.Bind bind) {
      queries.bind(bind);
      connection.send(messages.empty(MessageType.BIND_COMPLETE));
    } else if (message instanceof ClientMessage.Describe describe) {
      describe(describe);
    } else if (message instanceof ClientMessage.Execute execute) {
      execute(queries.portal(execute.portal()), execute.maximumRows());
    } else if (message instanceof ClientMessage.Close close) {
      close(close);
    } else if (message instanceof ClientMessage.Sync) {
      skipToSync = false;
      sendReady();
    } else if (message instanceof ClientMessage.Flush) {
      connection.flush();
    } else if (message instanceof ClientMessage.Terminate) {
      connection.close();
    } else {
      throw SqlException.of("0A000", "the stand-in does not support the message " + message);
    }
  }

  private void runAll(List<Statement> statements, int index) {
    if (index == statements.size()) {
      sendReady();
      return;
    }
    Statement statement = statements.get(index);
    run(
        statement,
        List.of(),
        (answer, answerLost) -> {
          List<Frame> frames = resultFrames(answer);
          if (answerLost) {
            connection.sendTruncated(frames);
            return;
          }
          frames.forEach(connection::send);
          runAll(statements, index + 1);
        },
        this::sendReady);
  }

  private void execute(PreparedQueries.Portal portal, int maximumRows) {
    if (portal.answer() != null) {
      portalFrames(portal, maximumRows).forEach(connection::send);
      return;
    }
    run(
        portal.statement(),
        portal.parameters(),
        (answer, answerLost) -> {
          portal.setAnswer(answer);
          List<Frame> frames = portalFrames(portal, maximumRows);
          if (answerLost) {
            connection.sendTruncated(frames);
          } else {
            frames.forEach(connection::send);
          }
        },
        () -> skipToSync = true);
  }

  private void run(
      Statement statement, List<String> parameters, AnswerAction onAnswer, Runnable onFailure) {
    connection.suspend();
    StatementTask.Listener listener =
        new StatementTask.Listener() {
          @Override
          public void onAnswer(Execution.Answer answer, boolean answerLost) {
            TransactionStatus newStatus = statusOf(session);
            connection.onEventLoop(
                () -> {
                  status = newStatus;
                  queries.afterExecution(statement);
                  onAnswer.accept(answer, answerLost);
                  connection.resume();
                });
          }

          @Override
          public void onFailure(SqlException failure) {
            TransactionStatus newStatus = statusOf(session);
            connection.onEventLoop(
                () -> {
                  status = newStatus;
                  sendFailure(failure);
                  onFailure.run();
                  connection.resume();
                });
          }
        };
    StatementTask task = StatementTask.of(session, statement, parameters, listener);
    connection.onEngineThread(() -> connection.submit(task));
  }

  private void describe(ClientMessage.Describe describe) {
    Statement statement;
    if (describe.portal()) {
      statement = queries.portal(describe.name()).statement();
    } else {
      PreparedQueries.Prepared prepared = queries.statement(describe.name());
      connection.send(parameterDescription(prepared.types()));
      statement = prepared.statement();
    }
    connection.suspend();
    connection.onEngineThread(() -> describe(statement));
  }

  private void describe(Statement statement) {
    try {
      List<String> columns = connection.columns(statement);
      connection.onEventLoop(
          () -> {
            connection.send(
                columns == null
                    ? messages.empty(MessageType.NO_DATA)
                    : messages.textRowDescription(columns));
            connection.resume();
          });
    } catch (SqlException failure) {
      connection.failTransaction();
      TransactionStatus newStatus = statusOf(session);
      connection.onEventLoop(
          () -> {
            status = newStatus;
            sendFailure(failure);
            skipToSync = true;
            connection.resume();
          });
    }
  }

  private void close(ClientMessage.Close close) {
    if (close.portal()) {
      queries.closePortal(close.name());
    } else {
      queries.closeStatement(close.name());
    }
    connection.send(messages.empty(MessageType.CLOSE_COMPLETE));
  }

  private List<Frame> resultFrames(Execution.Answer answer) {
    List<Frame> frames = new ArrayList<>();
    if (answer.columns() != null) {
      frames.add(messages.textRowDescription(answer.columns()));
    }
    answer.rows().forEach(row -> frames.add(messages.textRow(row)));
    frames.add(completion(answer));
    return frames;
  }

  private List<Frame> portalFrames(PreparedQueries.Portal portal, int maximumRows) {
    List<Frame> frames = new ArrayList<>();
    portal.takeRows(maximumRows).forEach(row -> frames.add(messages.textRow(row)));
    frames.add(
        portal.hasUnsentRows()
            ? messages.empty(MessageType.PORTAL_SUSPENDED)
            : completion(portal.answer()));
    return frames;
  }

  private Frame completion(Execution.Answer answer) {
    return answer.tag().isEmpty()
        ? messages.empty(MessageType.EMPTY_QUERY_RESPONSE)
        : messages.commandComplete(answer.tag());
  }

  private Frame parameterDescription(List<Integer> types) {
    FrameWriter writer =
        FrameWriter.of(allocator, MessageType.PARAMETER_DESCRIPTION).shortValue(types.size());
    types.forEach(writer::intValue);
    return writer.toFrame();
  }

  private void sendFailure(SqlException failure) {
    if (failure.sqlState().equals(ADMIN_SHUTDOWN)) {
      connection.send(messages.error(ErrorFields.fatal(ADMIN_SHUTDOWN, failure.getMessage())));
      connection.close();
      return;
    }
    connection.send(messages.error(ErrorFields.error(failure.sqlState(), failure.getMessage())));
  }

  private void sendReady() {
    connection.send(messages.readyForQuery(status));
    connection.flush();
  }

  private static TransactionStatus statusOf(Session session) {
    if (!session.inTransaction()) {
      return TransactionStatus.IDLE;
    }
    return session.failed() ? TransactionStatus.FAILED : TransactionStatus.IN_TRANSACTION;
  }
}

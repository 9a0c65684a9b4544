package org.persimmonwalk.internal.standin.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.persimmonwalk.model.MonotonicTime;

/** Runs one statement of a session on one server; an instance serves a single statement. */
final class StatementRunner {
  private final ServerState server;
  private final Session session;
  private final List<String> parameters;
  private final MonotonicTime now;

  private StatementRunner(
      ServerState server, Session session, List<String> parameters, MonotonicTime now) {
    this.server = server;
    this.session = session;
    this.parameters = parameters;
    this.now = now;
  }

  static StatementRunner of(
      ServerState server, Session session, List<String> parameters, MonotonicTime now) {
    return new StatementRunner(server, session, parameters, now);
  }

  Execution run(Statement statement) {
    if (statement instanceof Statement.Select select) {
      return select(select);
    } else if (statement instanceof Statement.Insert insert) {
      return insert(insert);
    } else if (statement instanceof Statement.Update update) {
      return update(update);
    } else if (statement instanceof Statement.Delete delete) {
      return delete(delete);
    } else if (statement instanceof Statement.CreateTable create) {
      return createTable(create);
    } else if (statement instanceof Statement.SelectConstant constant) {
      List<String> row = new ArrayList<>();
      constant.values().forEach(value -> row.add(value.value(parameters)));
      return Execution.Answer.ofRows(constantColumns(constant), List.of(row));
    }
    return SessionStatements.run(this, session, statement);
  }

  /** Returns the column names of the statement's result, or null if it returns no rows. */
  List<String> columns(Statement statement) {
    if (statement instanceof Statement.Select select) {
      return select.count() ? List.of("count") : selected(table(select.table()), select);
    } else if (statement instanceof Statement.SelectConstant constant) {
      return constantColumns(constant);
    } else if (statement instanceof Statement.Show show) {
      return List.of(show.name());
    } else if (statement instanceof Statement.Call call) {
      return GroupFunctions.columns(call.function());
    }
    return null;
  }

  /**
   * Commits the session's transaction, or rolls it back if it has failed, and returns the command
   * tag.
   */
  String commit() {
    boolean rollback = session.failed();
    if (!rollback && session.inTransaction() && !session.transaction().changes().isEmpty()) {
      requireWritable();
      append(session.transaction().changes());
    }
    endTransaction();
    return rollback ? "ROLLBACK" : "COMMIT";
  }

  /** Closes the session's transaction and releases its row locks; uncommitted changes are lost. */
  void endTransaction() {
    server.rowLocks.values().removeIf(holder -> holder == session);
    session.endTransaction();
  }

  private static List<String> constantColumns(Statement.SelectConstant constant) {
    return Collections.nCopies(constant.values().size(), "?column?");
  }

  private static List<String> selected(Table table, Statement.Select select) {
    return select.columns().isEmpty() ? table.columns() : select.columns();
  }

  private Execution select(Statement.Select select) {
    if (select.locking()) {
      requireWritable();
    }
    Table table = table(select.table());
    List<List<String>> matches = matches(table, select.conditions());
    if (select.count()) {
      List<String> row = List.of(Integer.toString(matches.size()));
      return Execution.Answer.ofRows(List.of("count"), List.of(row));
    }
    List<String> columns = selected(table, select);
    int[] indexes = columns.stream().mapToInt(table::indexOf).toArray();
    List<List<String>> rows = new ArrayList<>();
    for (List<String> match : matches) {
      rows.add(
          Arrays.stream(indexes)
              .mapToObj(match::get)
              .collect(ArrayList::new, List::add, List::addAll));
    }
    return Execution.Answer.ofRows(columns, rows);
  }

  private Execution insert(Statement.Insert insert) {
    requireWritable();
    Table table = table(insert.table());
    List<String> row = assign(table, emptyRow(table), insert.values());
    String key = key(table, row);
    Session holder = lockHolder(insert.table(), key);
    if (holder != null) {
      return new Execution.LockWait(holder);
    }
    requireNew(insert.table(), table, key);
    write(insert.table(), key, new Change.RowPut(insert.table(), key, row));
    commitUnlessInTransaction();
    return Execution.Answer.ofTag("INSERT 0 1");
  }

  private Execution update(Statement.Update update) {
    requireWritable();
    Table table = table(update.table());
    List<List<String>> matches = matches(table, update.conditions());
    Session holder = lockHolder(update.table(), matches);
    if (holder != null) {
      return new Execution.LockWait(holder);
    }
    for (List<String> match : matches) {
      List<String> row = assign(table, match, update.assignments());
      String key = key(table, row);
      if (!key.equals(match.get(0))) {
        throw SqlException.of("0A000", "the stand-in does not change primary keys");
      }
      write(update.table(), key, new Change.RowPut(update.table(), key, row));
    }
    commitUnlessInTransaction();
    return Execution.Answer.ofTag("UPDATE " + matches.size());
  }

  private Execution delete(Statement.Delete delete) {
    requireWritable();
    List<List<String>> matches = matches(table(delete.table()), delete.conditions());
    Session holder = lockHolder(delete.table(), matches);
    if (holder != null) {
      return new Execution.LockWait(holder);
    }
    for (List<String> match : matches) {
      write(delete.table(), match.get(0), new Change.RowRemoved(delete.table(), match.get(0)));
    }
    commitUnlessInTransaction();
    return Execution.Answer.ofTag("DELETE " + matches.size());
  }

  private Execution createTable(Statement.CreateTable create) {
    requireWritable();
    if (find(create.table()) != null) {
      throw SqlException.of("42P07", "relation \"" + create.table() + "\" already exists");
    }
    write(create.table(), "", new Change.TableCreated(create.table(), create.columns()));
    commitUnlessInTransaction();
    return Execution.Answer.ofTag("CREATE TABLE");
  }

  /** The changes of a statement outside a transaction, written to the log when it ends. */
  private final List<Change> pending = new ArrayList<>();

  private void write(String table, String key, Change change) {
    if (session.inTransaction()) {
      session.transaction().add(table, change);
      server.rowLocks.put(lockName(table, key), session);
    } else {
      pending.add(change);
    }
  }

  private void commitUnlessInTransaction() {
    if (!pending.isEmpty()) {
      append(pending);
    }
  }

  private void append(List<Change> changes) {
    server.store(LogRecord.after(server.logTerm, server.received(), now, changes), now);
    server.replayNext();
  }

  private void requireWritable() {
    boolean readOnly =
        session.inTransaction() ? session.transaction().readOnly() : session.readOnlyByDefault();
    if (readOnly || !server.isPrimary()) {
      throw SqlException.of("25006", "cannot write in a read-only transaction");
    }
  }

  private static void requireNew(String name, Table table, String key) {
    if (table.rows().containsKey(key)) {
      throw SqlException.of(
          "23505",
          "duplicate key value violates unique constraint \"" + name + "_pkey\", key " + key);
    }
  }

  private Table table(String name) {
    Table table = find(name);
    if (table == null) {
      throw SqlException.of("42P01", "relation \"" + name + "\" does not exist");
    }
    return table;
  }

  private Table find(String name) {
    return session.inTransaction()
        ? session.transaction().view(name, server.tables)
        : server.tables.get(name);
  }

  private static List<String> emptyRow(Table table) {
    return Collections.nCopies(table.columns().size(), null);
  }

  private List<String> assign(
      Table table, List<String> row, List<Statement.ColumnValue> assignments) {
    List<String> changed = new ArrayList<>(row);
    for (Statement.ColumnValue assignment : assignments) {
      changed.set(table.indexOf(assignment.column()), assignment.operand().value(parameters));
    }
    return Collections.unmodifiableList(changed);
  }

  private static String key(Table table, List<String> row) {
    if (row.get(0) == null) {
      throw SqlException.of(
          "23502", "null value in column \"" + table.columns().get(0) + "\" is not allowed");
    }
    return row.get(0);
  }

  private List<List<String>> matches(Table table, List<Statement.ColumnValue> conditions) {
    for (Statement.ColumnValue condition : conditions) {
      if (table.indexOf(condition.column()) == 0) {
        List<String> row = table.rows().get(condition.operand().value(parameters));
        return row != null && matches(table, row, conditions) ? List.of(row) : List.of();
      }
    }
    return table.rows().values().stream().filter(row -> matches(table, row, conditions)).toList();
  }

  private boolean matches(Table table, List<String> row, List<Statement.ColumnValue> conditions) {
    for (Statement.ColumnValue condition : conditions) {
      String wanted = condition.operand().value(parameters);
      if (wanted == null || !wanted.equals(row.get(table.indexOf(condition.column())))) {
        return false;
      }
    }
    return true;
  }

  private Session lockHolder(String table, List<List<String>> rows) {
    for (List<String> row : rows) {
      Session holder = lockHolder(table, row.get(0));
      if (holder != null) {
        return holder;
      }
    }
    return null;
  }

  private Session lockHolder(String table, String key) {
    Session holder = server.rowLocks.get(lockName(table, key));
    return holder == session ? null : holder;
  }

  private static String lockName(String table, String key) {
    return table + "/" + key;
  }
}

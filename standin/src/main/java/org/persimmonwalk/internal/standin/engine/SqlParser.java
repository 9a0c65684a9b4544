package org.persimmonwalk.internal.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Parses the subset of SQL that the stand-in runs. */
public final class SqlParser {

  private SqlParser() {}

  /**
   * Returns the statements of a simple query in their order.
   *
   * @throws SqlException if the text is not in the supported subset
   */
  public static List<Statement> parseAll(String text) {
    return SqlTokens.split(text).stream().map(SqlParser::parse).toList();
  }

  /**
   * Returns the single statement of an extended query.
   *
   * @throws SqlException if the text is not in the supported subset or holds several statements
   */
  public static Statement parseOne(String text) {
    List<Statement> statements = parseAll(text);
    if (statements.size() != 1) {
      throw SqlException.of("42601", "cannot insert multiple commands into a prepared statement");
    }
    return statements.get(0);
  }

  private static Statement parse(SqlTokens tokens) {
    if (tokens.isAtEnd()) {
      return new Statement.Empty();
    }
    String keyword = tokens.take();
    Statement statement =
        switch (keyword.toUpperCase(Locale.ROOT)) {
          case "CREATE" -> createTable(tokens);
          case "INSERT" -> insert(tokens);
          case "UPDATE" -> update(tokens);
          case "DELETE" -> delete(tokens);
          case "SELECT" -> select(tokens);
          case "BEGIN", "START" -> begin(tokens);
          case "COMMIT", "END" -> transactionEnd(tokens, new Statement.Commit());
          case "ROLLBACK", "ABORT" -> transactionEnd(tokens, new Statement.Rollback());
          case "SET" -> set(tokens);
          case "RESET" -> new Statement.SetParameter(tokens.takeName(), null);
          case "SHOW" -> show(tokens);
          case "DISCARD" -> discard(tokens);
          case "DEALLOCATE" -> deallocate(tokens);
          default -> throw SqlException.syntax(keyword);
        };
    tokens.expectEnd();
    return statement;
  }

  private static Statement createTable(SqlTokens tokens) {
    tokens.expect("TABLE");
    String table = tokens.takeName();
    tokens.expect("(");
    List<String> columns = new ArrayList<>();
    do {
      columns.add(tokens.takeName());
      while (!tokens.peek(",") && !tokens.peek(")")) {
        tokens.take();
      }
    } while (tokens.accept(","));
    tokens.expect(")");
    return new Statement.CreateTable(table, List.copyOf(columns));
  }

  private static Statement insert(SqlTokens tokens) {
    tokens.expect("INTO");
    String table = tokens.takeName();
    tokens.expect("(");
    List<String> columns = new ArrayList<>();
    do {
      columns.add(tokens.takeName());
    } while (tokens.accept(","));
    tokens.expect(")", "VALUES", "(");
    List<Statement.ColumnValue> values = new ArrayList<>();
    for (String column : columns) {
      if (!values.isEmpty()) {
        tokens.expect(",");
      }
      values.add(new Statement.ColumnValue(column, tokens.takeOperand()));
    }
    tokens.expect(")");
    return new Statement.Insert(table, List.copyOf(values));
  }

  private static Statement update(SqlTokens tokens) {
    String table = tokens.takeName();
    tokens.expect("SET");
    List<Statement.ColumnValue> assignments = columnValues(tokens, ",");
    return new Statement.Update(table, assignments, conditions(tokens));
  }

  private static Statement delete(SqlTokens tokens) {
    tokens.expect("FROM");
    return new Statement.Delete(tokens.takeName(), conditions(tokens));
  }

  private static Statement select(SqlTokens tokens) {
    List<String> columns = new ArrayList<>();
    boolean count = tokens.accept("COUNT", "(", "*", ")");
    if (!count && !tokens.accept("*")) {
      if (tokens.peekValue()) {
        return selectConstant(tokens);
      }
      do {
        columns.add(tokens.takeName());
      } while (tokens.accept(","));
    }
    tokens.expect("FROM");
    String table = tokens.takeName();
    if (!count && columns.isEmpty() && tokens.accept("(")) {
      return call(table, tokens);
    }
    List<Statement.ColumnValue> conditions = conditions(tokens);
    boolean locking = tokens.accept("FOR");
    if (locking) {
      tokens.takeRest();
    }
    return new Statement.Select(table, List.copyOf(columns), count, conditions, locking);
  }

  private static Statement selectConstant(SqlTokens tokens) {
    List<Operand> values = new ArrayList<>();
    do {
      values.add(tokens.takeOperand());
      if (tokens.accept("AS")) {
        tokens.takeName();
      }
    } while (tokens.accept(","));
    return new Statement.SelectConstant(List.copyOf(values));
  }

  private static Statement call(String function, SqlTokens tokens) {
    List<Operand> arguments = new ArrayList<>();
    if (!tokens.accept(")")) {
      do {
        arguments.add(tokens.takeOperand());
      } while (tokens.accept(","));
      tokens.expect(")");
    }
    return new Statement.Call(function, List.copyOf(arguments));
  }

  private static Statement begin(SqlTokens tokens) {
    String modes = tokens.takeRest().toUpperCase(Locale.ROOT);
    if (modes.contains("READ ONLY")) {
      return new Statement.Begin(true);
    }
    return new Statement.Begin(modes.contains("READ WRITE") ? Boolean.FALSE : null);
  }

  private static Statement transactionEnd(SqlTokens tokens, Statement statement) {
    if (!tokens.accept("TRANSACTION")) {
      tokens.accept("WORK");
    }
    return statement;
  }

  private static Statement set(SqlTokens tokens) {
    if (tokens.accept("SESSION", "CHARACTERISTICS", "AS", "TRANSACTION")) {
      String modes = tokens.takeRest().toUpperCase(Locale.ROOT);
      String value = modes.contains("READ ONLY") ? "on" : "off";
      return new Statement.SetParameter("default_transaction_read_only", value);
    }
    tokens.accept("SESSION");
    String name = tokens.takeName();
    if (!tokens.accept("=")) {
      tokens.expect("TO");
    }
    if (tokens.accept("DEFAULT")) {
      return new Statement.SetParameter(name, null);
    }
    String value = tokens.peekValue() ? tokens.takeOperand().value(List.of()) : tokens.take();
    return new Statement.SetParameter(name, value);
  }

  private static Statement show(SqlTokens tokens) {
    if (tokens.accept("TRANSACTION", "ISOLATION", "LEVEL")) {
      return new Statement.Show("transaction_isolation");
    }
    return new Statement.Show(tokens.takeName());
  }

  private static Statement discard(SqlTokens tokens) {
    tokens.expect("ALL");
    return new Statement.DiscardAll();
  }

  private static Statement deallocate(SqlTokens tokens) {
    tokens.accept("PREPARE");
    return new Statement.Deallocate(tokens.accept("ALL") ? null : tokens.takeName());
  }

  private static List<Statement.ColumnValue> conditions(SqlTokens tokens) {
    return tokens.accept("WHERE") ? columnValues(tokens, "AND") : List.of();
  }

  private static List<Statement.ColumnValue> columnValues(SqlTokens tokens, String separator) {
    List<Statement.ColumnValue> columnValues = new ArrayList<>();
    do {
      String column = tokens.takeName();
      tokens.expect("=");
      columnValues.add(new Statement.ColumnValue(column, tokens.takeOperand()));
    } while (tokens.accept(separator));
    return List.copyOf(columnValues);
  }
}

package org.persimmonwalk.internal.standin.protocol;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.persimmonwalk.internal.standin.engine.Execution;
import org.persimmonwalk.internal.standin.engine.SqlException;
import org.persimmonwalk.internal.standin.engine.SqlParser;
import org.persimmonwalk.internal.standin.engine.Statement;

/** The prepared statements and portals of one connection. */
final class PreparedQueries {
  private static final Pattern PARAMETER = Pattern.compile("\\$(\\d+)");
  private static final int TEXT_TYPE = 25;

  private final Map<String, Prepared> statements = new HashMap<>();
  private final Map<String, Portal> portals = new HashMap<>();

  private PreparedQueries() {}

  static PreparedQueries create() {
    return new PreparedQueries();
  }

  /** A prepared statement and the type identifiers of its parameters. */
  record Prepared(Statement statement, List<Integer> types) {}

  /** A statement with its parameter values and, once it has run, its result and the rows sent. */
  static final class Portal {
    private final Statement statement;
    private final List<String> parameters;
    private Execution.Answer answer;
    private int sentRows;

    private Portal(Statement statement, List<String> parameters) {
      this.statement = statement;
      this.parameters = parameters;
    }

    Statement statement() {
      return statement;
    }

    List<String> parameters() {
      return parameters;
    }

    Execution.Answer answer() {
      return answer;
    }

    void setAnswer(Execution.Answer result) {
      answer = result;
    }

    /** Returns the next rows to send: at most the given number, or all that remain if it is 0. */
    List<List<String>> takeRows(int maximum) {
      int left = answer.rows().size() - sentRows;
      int count = maximum == 0 ? left : Math.min(left, maximum);
      List<List<String>> rows = answer.rows().subList(sentRows, sentRows + count);
      sentRows += count;
      return rows;
    }

    boolean hasUnsentRows() {
      return sentRows < answer.rows().size();
    }
  }

  void prepare(ClientMessage.Parse parse) {
    if (!parse.name().isEmpty() && statements.containsKey(parse.name())) {
      throw SqlException.of("42P05", "prepared statement \"" + parse.name() + "\" already exists");
    }
    Statement statement = SqlParser.parseOne(parse.text());
    statements.put(parse.name(), new Prepared(statement, types(parse)));
  }

  void bind(ClientMessage.Bind bind) {
    Prepared prepared = statement(bind.statement());
    List<String> values = ParameterDecoder.decode(bind, prepared.types());
    portals.put(bind.portal(), new Portal(prepared.statement(), values));
  }

  Prepared statement(String name) {
    Prepared prepared = statements.get(name);
    if (prepared == null) {
      throw SqlException.of("26000", "prepared statement \"" + name + "\" does not exist");
    }
    return prepared;
  }

  Portal portal(String name) {
    Portal portal = portals.get(name);
    if (portal == null) {
      throw SqlException.of("34000", "portal \"" + name + "\" does not exist");
    }
    return portal;
  }

  void closeStatement(String name) {
    statements.remove(name);
  }

  void closePortal(String name) {
    portals.remove(name);
  }

  /** Drops the prepared statements and portals that a DISCARD or DEALLOCATE removes. */
  void afterExecution(Statement statement) {
    if (statement instanceof Statement.DiscardAll) {
      statements.clear();
      portals.clear();
    } else if (statement instanceof Statement.Deallocate deallocate) {
      if (deallocate.name() == null) {
        statements.clear();
      } else {
        statements.remove(deallocate.name());
      }
    }
  }

  private static List<Integer> types(ClientMessage.Parse parse) {
    List<Integer> types = new ArrayList<>(parse.types());
    Matcher matcher = PARAMETER.matcher(parse.text());
    while (matcher.find()) {
      while (types.size() < Integer.parseInt(matcher.group(1))) {
        types.add(0);
      }
    }
    types.replaceAll(type -> type == 0 ? TEXT_TYPE : type);
    return types;
  }
}

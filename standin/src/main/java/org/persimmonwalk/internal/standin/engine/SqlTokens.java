package org.persimmonwalk.internal.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The tokens of one SQL statement and a cursor over them. */
final class SqlTokens {
  private static final Pattern TOKEN =
      Pattern.compile(
          "'(?:[^']|'')*'|\"[^\"]*\"|\\$\\d+|::|[A-Za-z_][\\w.]*|-?\\d+(?:\\.\\d+)?|\\S");

  private final List<String> tokens;
  private int next;

  private SqlTokens(List<String> tokens) {
    this.tokens = tokens;
  }

  /** Splits a text into statements, at the semicolons outside quotes, and these into tokens. */
  static List<SqlTokens> split(String text) {
    List<SqlTokens> statements = new ArrayList<>();
    List<String> current = new ArrayList<>();
    Matcher matcher = TOKEN.matcher(text);
    while (matcher.find()) {
      if (matcher.group().equals(";")) {
        statements.add(new SqlTokens(current));
        current = new ArrayList<>();
      } else {
        current.add(matcher.group());
      }
    }
    if (!current.isEmpty() || statements.isEmpty()) {
      statements.add(new SqlTokens(current));
    }
    return statements;
  }

  boolean isAtEnd() {
    return next == tokens.size();
  }

  /** Returns whether the next token is the given keyword or punctuation mark. */
  boolean peek(String word) {
    return !isAtEnd() && tokens.get(next).equalsIgnoreCase(word);
  }

  /** Returns whether a literal or a parameter comes next. */
  boolean peekValue() {
    if (isAtEnd()) {
      return false;
    }
    char first = tokens.get(next).charAt(0);
    boolean word = peek("NULL") || peek("TRUE") || peek("FALSE");
    return word || first == '\'' || first == '$' || first == '-' || Character.isDigit(first);
  }

  /** Consumes the given words if all of them come next, and returns whether they did. */
  boolean accept(String... words) {
    for (int index = 0; index < words.length; index++) {
      int at = next + index;
      if (at >= tokens.size() || !tokens.get(at).equalsIgnoreCase(words[index])) {
        return false;
      }
    }
    next += words.length;
    return true;
  }

  void expect(String... words) {
    if (!accept(words)) {
      throw SqlException.syntax(near());
    }
  }

  void expectEnd() {
    if (!isAtEnd()) {
      throw SqlException.syntax(near());
    }
  }

  /** Consumes the next token. */
  String take() {
    if (isAtEnd()) {
      throw SqlException.syntax("end of input");
    }
    return tokens.get(next++);
  }

  /** Consumes the name of a table, column or parameter; unquoted names become lower case. */
  String takeName() {
    String token = take();
    if (token.startsWith("\"")) {
      return token.substring(1, token.length() - 1);
    }
    if (!Character.isLetter(token.charAt(0)) && token.charAt(0) != '_') {
      throw SqlException.syntax(token);
    }
    return token.toLowerCase(Locale.ROOT);
  }

  /** Consumes a literal or a parameter; a cast after it is skipped. */
  Operand takeOperand() {
    Operand operand = operand(take());
    if (accept("::")) {
      takeName();
    }
    return operand;
  }

  /** Consumes the remaining tokens and returns them joined by spaces. */
  String takeRest() {
    String rest = String.join(" ", tokens.subList(next, tokens.size()));
    next = tokens.size();
    return rest;
  }

  private static Operand operand(String token) {
    char first = token.charAt(0);
    if (first == '\'' && token.length() > 1) {
      String text = token.substring(1, token.length() - 1).replace("''", "'");
      return new Operand.Literal(text);
    }
    if (first == '$' && token.length() > 1) {
      return new Operand.Parameter(Integer.parseInt(token.substring(1)));
    }
    if (Character.isDigit(first) || (first == '-' && token.length() > 1)) {
      return new Operand.Literal(token);
    }
    return switch (token.toLowerCase(Locale.ROOT)) {
      case "null" -> new Operand.Literal(null);
      case "true" -> new Operand.Literal("t");
      case "false" -> new Operand.Literal("f");
      default -> throw SqlException.syntax(token);
    };
  }

  private String near() {
    return isAtEnd() ? "end of input" : tokens.get(next);
  }
}

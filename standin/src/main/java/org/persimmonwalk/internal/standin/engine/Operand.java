package org.persimmonwalk.internal.standin.engine;

import java.util.List;

/** A value in a statement: a literal or a parameter. */
public sealed interface Operand {

  /** Returns the value, given the values of the statement's parameters; null is the SQL null. */
  String value(List<String> parameters);

  /** A value in the statement's text. */
  record Literal(String text) implements Operand {
    @Override
    public String value(List<String> parameters) {
      return text;
    }
  }

  /** A parameter such as {@code $1}. */
  record Parameter(int number) implements Operand {
    @Override
    public String value(List<String> parameters) {
      if (number < 1 || number > parameters.size()) {
        throw SqlException.of("42P02", "there is no parameter $" + number);
      }
      return parameters.get(number - 1);
    }
  }
}

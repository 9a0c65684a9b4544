package org.persimmonwalk.internal.traffic.caller;

import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Classifies statements by their leading keyword. An unknown statement counts as a write: a read
 * that is not recognised then runs on the primary instead of a replica, but no write is sent to a
 * replica or goes without its acknowledgement.
 */
final class StatementClassifier {
  private static final Set<String> READS = Set.of("SELECT", "SHOW", "VALUES", "TABLE");
  private static final Set<String> ENDS = Set.of("COMMIT", "END", "ROLLBACK", "ABORT");
  private static final Set<String> UNSUPPORTED =
      Set.of("COPY", "LISTEN", "UNLISTEN", "PREPARE", "EXECUTE", "DECLARE");

  /** Rolls back to a savepoint and leaves the transaction open. */
  private static final Pattern ROLLBACK_TO =
      Pattern.compile("\\A(ROLLBACK|ABORT)(\\s+(WORK|TRANSACTION))?\\s+TO\\b");

  private static final Pattern LEADING_SPACE = Pattern.compile("\\A(\\s|--[^\\n]*\\n?)+");
  private static final Pattern COMMENT_MARK = Pattern.compile("/\\*|\\*/");
  private static final Pattern LINE_COMMENT = Pattern.compile("--[^\\n]*");

  /** A string constant without backslashes, which may escape the quote that ends it. */
  private static final Pattern QUOTED_TEXT = Pattern.compile("'[^'\\\\]*'");

  private static final Pattern LOCKING =
      Pattern.compile("\\bFOR\\s+(UPDATE|SHARE|NO\\s+KEY|KEY\\s+SHARE)\\b");
  private static final Pattern READ_ONLY = Pattern.compile("\\bREAD\\s+ONLY\\b");
  private static final Pattern HOST_PARAMETER =
      Pattern.compile("\\ASET\\s+(SESSION\\s+)?PERSIMMONWALK\\.");
  private static final Pattern TRANSACTION_SCOPE =
      Pattern.compile("\\ASET\\s+(LOCAL|TRANSACTION)\\b");
  private static final Pattern TEMPORARY =
      Pattern.compile("\\ACREATE\\s+(LOCAL\\s+|GLOBAL\\s+)?TEMP(ORARY)?\\b");

  private StatementClassifier() {}

  static StatementClass classify(String statement) {
    String text = normalize(statement);
    String keyword = keyword(text);
    String uncommented = withoutLeadingComments(text);
    String uncommentedKeyword = keyword(uncommented);
    if (uncommentedKeyword.equals("SET") && !mayHoldSeveral(withoutQuotedText(uncommented))) {
      return classifySet(uncommented);
    }
    if (mayHoldSeveral(text)) {
      return StatementClass.MULTIPLE;
    }
    if (READS.contains(keyword)) {
      return LOCKING.matcher(text).find() ? StatementClass.WRITE : StatementClass.READ;
    }
    if (keyword.equals("BEGIN") || keyword.equals("START")) {
      return READ_ONLY.matcher(text).find() ? StatementClass.BEGIN_READ_ONLY : StatementClass.BEGIN;
    }
    if (ENDS.contains(uncommentedKeyword)) {
      boolean keepsTransaction = ROLLBACK_TO.matcher(withoutComments(uncommented)).find();
      return keepsTransaction ? StatementClass.WRITE : StatementClass.END;
    }
    boolean unsupported = UNSUPPORTED.contains(keyword) || TEMPORARY.matcher(text).find();
    return unsupported ? StatementClass.UNSUPPORTED : StatementClass.WRITE;
  }

  private static StatementClass classifySet(String text) {
    if (HOST_PARAMETER.matcher(text).find()) {
      return StatementClass.SET_HOST_PARAMETER;
    }
    return TRANSACTION_SCOPE.matcher(text).find() ? StatementClass.READ : StatementClass.SET;
  }

  /** Returns whether the text may hold several statements; a quoted semicolon counts too. */
  private static boolean mayHoldSeveral(String text) {
    int semicolon = text.indexOf(';');
    return semicolon >= 0 && !text.substring(semicolon + 1).isBlank();
  }

  private static String normalize(String statement) {
    return LEADING_SPACE.matcher(statement).replaceFirst("").toUpperCase(Locale.ROOT);
  }

  private static String withoutLeadingComments(String text) {
    String rest = text;
    while (rest.startsWith("/*")) {
      rest = normalize(rest.substring(commentLength(rest)));
    }
    return rest;
  }

  /** Replaces each comment by a space; for statements that hold no quoted text. */
  private static String withoutComments(String text) {
    String rest = LINE_COMMENT.matcher(text).replaceAll(" ");
    int start = rest.indexOf("/*");
    while (start >= 0) {
      String comment = rest.substring(start);
      rest = rest.substring(0, start) + " " + comment.substring(commentLength(comment));
      start = rest.indexOf("/*");
    }
    return rest;
  }

  /** Returns the length of the comment at the start of a text; comments may be nested. */
  private static int commentLength(String text) {
    Matcher mark = COMMENT_MARK.matcher(text);
    int depth = 0;
    while (mark.find()) {
      depth += mark.group().equals("/*") ? 1 : -1;
      if (depth == 0) {
        return mark.end();
      }
    }
    return text.length();
  }

  private static String withoutQuotedText(String text) {
    return QUOTED_TEXT.matcher(text).replaceAll("''");
  }

  private static String keyword(String text) {
    int end = 0;
    while (end < text.length() && Character.isLetter(text.charAt(end))) {
      end++;
    }
    return text.substring(0, end);
  }
}

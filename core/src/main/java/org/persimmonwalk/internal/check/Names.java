package org.persimmonwalk.internal.check;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/** Checks the syntax of identifiers, such as those of entry hosts, workspaces and table rows. */
public final class Names {
  private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_.:-]{0,127}");

  /** Characters that end a field of a message or the message itself. */
  private static final String FIELD_ENDS = " \r\n\0";

  private Names() {}

  /**
   * Returns the given text if it is a valid identifier.
   *
   * @param kind the kind of identifier, such as "workspace", for the error message
   * @param value the text to check
   * @throws IllegalArgumentException if the text is not 1 to 128 letters, digits or {@code _.:-},
   *     or does not start with a letter or digit
   */
  public static String check(String kind, String value) {
    if (value == null || !IDENTIFIER.matcher(value).matches()) {
      throw new IllegalArgumentException(
          kind
              + " '"
              + value
              + "' is not valid: use 1 to 128 letters, digits or _.:- and start with a letter or"
              + " digit");
    }
    return value;
  }

  /**
   * Returns the given text if it is a name that another system may have given. Such a name may be
   * longer than an identifier and use other characters.
   *
   * @param kind the kind of name, such as "availability zone", for the error message
   * @param value the text to check
   * @throws IllegalArgumentException if the text is empty, or is not valid Unicode and so has no
   *     bytes in UTF-8
   */
  public static String checkExternal(String kind, String value) {
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException(kind + " is not valid: the name is empty");
    }
    if (!StandardCharsets.UTF_8.newEncoder().canEncode(value)) {
      throw new IllegalArgumentException(kind + " is not valid: the name is not valid Unicode");
    }
    return value;
  }

  /**
   * Returns the given text if it is a name that a line of text can carry as one of several fields,
   * which blanks separate.
   *
   * @param kind the kind of name, such as "workspace", for the error message
   * @param value the text to check
   * @throws IllegalArgumentException if the text is empty, contains a blank, CR, LF or NUL, or is
   *     not valid Unicode
   */
  public static String checkField(String kind, String value) {
    checkExternal(kind, value);
    for (int i = 0; i < value.length(); i++) {
      if (FIELD_ENDS.indexOf(value.charAt(i)) >= 0) {
        throw new IllegalArgumentException(
            kind + " '" + value + "' is not valid: the name contains a blank, CR, LF or NUL");
      }
    }
    return value;
  }
}

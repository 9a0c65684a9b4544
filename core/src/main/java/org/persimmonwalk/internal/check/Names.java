package org.persimmonwalk.internal.check;

import java.util.regex.Pattern;

/** Checks the syntax of identifiers, such as those of entry hosts, workspaces and table rows. */
public final class Names {
  private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_.:-]{0,127}");

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
}

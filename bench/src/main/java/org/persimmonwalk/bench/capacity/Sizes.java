package org.persimmonwalk.bench.capacity;

import java.util.Arrays;

/**
 * The size of a deployment.
 *
 * @param hosts entry hosts
 * @param groups database groups of 3 backend servers
 * @param workspaces workspaces
 * @param keys caller keys of all workspaces together
 */
record Sizes(int hosts, int groups, int workspaces, int keys) {
  static final int SERVERS_PER_GROUP = 3;
  private static final int KEYS_PER_WORKSPACE = 10;

  /** Returns a size with 10 keys per workspace. */
  static Sizes of(int hosts, int groups, int workspaces) {
    return new Sizes(hosts, groups, workspaces, KEYS_PER_WORKSPACE * workspaces);
  }

  /** Parses a size such as {@code 5,10,8}: hosts, groups, workspaces. */
  static Sizes parse(String text) {
    int[] numbers = Arrays.stream(text.split(",")).mapToInt(Integer::parseInt).toArray();
    if (numbers.length != 3) {
      throw new IllegalArgumentException(
          "a size has the form hosts,groups,workspaces, but was: " + text);
    }
    return of(numbers[0], numbers[1], numbers[2]);
  }
}

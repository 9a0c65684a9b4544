package org.persimmonwalk.testing;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Tuple;

/** Generates inputs for decoders: valid ones in which parts were changed, removed or repeated. */
public final class MutatedInput {
  private static final int MAXIMUM_MUTATIONS = 5;
  private static final int MAXIMUM_REPETITIONS = 3000;

  /** Texts that decoders are likely to treat wrongly. */
  private static final List<String> FRAGMENTS =
      List.of(
          "[",
          "{\"a\":",
          "]",
          "}",
          "\"",
          ",",
          ":",
          " ",
          ".",
          "@",
          "-",
          "-1",
          "0",
          "1e400",
          "NaN",
          "Infinity",
          "9223372036854775808",
          "99999999999",
          "null",
          "true",
          "{}",
          "\\u0000",
          "\u0000",
          "\r\n",
          "\u00e9",
          "\ud83d\ude00");

  private MutatedInput() {}

  /** Returns mutations of the given valid inputs. */
  public static Arbitrary<byte[]> of(List<byte[]> validInputs) {
    return Combinators.combine(
            Arbitraries.of(validInputs),
            mutation().list().ofMinSize(1).ofMaxSize(MAXIMUM_MUTATIONS))
        .as(
            (input, mutations) -> {
              byte[] mutated = input;
              for (Mutation mutation : mutations) {
                mutated = mutation.apply(mutated);
              }
              return mutated;
            });
  }

  private static Arbitrary<Mutation> mutation() {
    return Combinators.combine(
            Arbitraries.of(Kind.values()),
            Arbitraries.doubles().between(0, 1),
            Arbitraries.doubles().between(0, 1),
            Arbitraries.of(FRAGMENTS),
            Arbitraries.frequencyOf(
                Tuple.of(9, Arbitraries.integers().between(1, 3)),
                Tuple.of(1, Arbitraries.integers().between(4, MAXIMUM_REPETITIONS))))
        .as(Mutation::new);
  }

  private enum Kind {
    CHANGE_BYTE,
    REMOVE,
    REPEAT,
    INSERT,
    REPLACE
  }

  /** A change; the position and the length are fractions of the input. */
  private record Mutation(
      Kind kind, double position, double length, String fragment, int repetitions) {

    private byte[] apply(byte[] input) {
      int start = (int) (position * input.length);
      int end =
          Math.min(input.length, start + 1 + (int) (length * length * (input.length - start)));
      byte[] part = Arrays.copyOfRange(input, start, Math.max(start, end));
      byte[] inserted = fragment.repeat(repetitions).getBytes(StandardCharsets.UTF_8);
      return switch (kind) {
        case CHANGE_BYTE -> changed(input, start);
        case REMOVE -> spliced(input, start, end, new byte[0], 0);
        case REPEAT -> spliced(input, start, start, part, Math.min(repetitions, 8));
        case INSERT -> spliced(input, start, start, inserted, 1);
        case REPLACE -> spliced(input, start, end, inserted, 1);
      };
    }

    private byte[] changed(byte[] input, int at) {
      byte[] changed = input.clone();
      if (at < changed.length) {
        changed[at] ^= (byte) (1 << (int) (length * 7));
      }
      return changed;
    }

    private static byte[] spliced(byte[] input, int start, int end, byte[] part, int count) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.write(input, 0, start);
      for (int i = 0; i < count; i++) {
        out.writeBytes(part);
      }
      out.write(input, end, input.length - end);
      return out.toByteArray();
    }
  }
}

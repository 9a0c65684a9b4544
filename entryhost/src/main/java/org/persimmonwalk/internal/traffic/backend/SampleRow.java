package org.persimmonwalk.internal.traffic.backend;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.persimmonwalk.model.GroupPosition;
import org.persimmonwalk.model.LogPosition;
import org.persimmonwalk.model.ServerRole;
import org.persimmonwalk.model.ServerSample;
import org.persimmonwalk.model.Term;
import org.persimmonwalk.wire.Frame;
import org.persimmonwalk.wire.PayloadReader;
import org.persimmonwalk.wire.ProtocolException;

/** The row that the function {@code persimmonwalk_sample()} of a backend server returns. */
public record SampleRow(ServerSample sample) {
  /** The statement that returns the row. */
  public static final String QUERY = "SELECT * FROM persimmonwalk_sample()";

  private static final int COLUMNS = 5;

  /**
   * Reads a data row with the columns role, term, received, replayed and primary_contact_age_ms.
   *
   * @throws ProtocolException if the row has other columns or values
   */
  public static SampleRow parse(Frame frame) {
    return parse(values(frame));
  }

  /**
   * Reads the values of a row.
   *
   * @throws ProtocolException if the row has other columns or values
   */
  public static SampleRow parse(List<String> values) {
    if (values.size() != COLUMNS) {
      throw new ProtocolException(
          "persimmonwalk_sample() returned " + values.size() + " columns instead of " + COLUMNS);
    }
    try {
      return new SampleRow(
          new ServerSample(
              ServerRole.valueOf(values.get(0).toUpperCase(Locale.ROOT)),
              Term.of(Long.parseLong(values.get(1))),
              LogPosition.parse(values.get(2)),
              LogPosition.parse(values.get(3)),
              Duration.ofMillis(Long.parseLong(values.get(4)))));
    } catch (IllegalArgumentException e) {
      throw new ProtocolException("persimmonwalk_sample() returned invalid values: " + values);
    }
  }

  /** Returns the position of the server if it is a primary. */
  public Optional<GroupPosition> primaryPosition() {
    return sample.role() == ServerRole.PRIMARY
        ? Optional.of(GroupPosition.of(sample.term(), sample.replayed()))
        : Optional.empty();
  }

  /** Returns the text values of a data row; SQL nulls are empty. */
  public static List<String> values(Frame frame) {
    PayloadReader reader = PayloadReader.of(frame);
    int count = reader.readCount();
    List<String> values = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      byte[] value = reader.readValue();
      values.add(value == null ? "" : new String(value, StandardCharsets.UTF_8));
    }
    return values;
  }
}

package org.persimmonwalk.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Constructor;
import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.persimmonwalk.engine.control.PrimaryView;
import org.persimmonwalk.engine.control.RelayHost;
import org.persimmonwalk.engine.control.RelayRole;
import org.persimmonwalk.engine.control.RowDemand;
import org.persimmonwalk.engine.control.RowKey;
import org.persimmonwalk.engine.control.StoreEra;
import org.persimmonwalk.engine.control.StoreVersion;
import org.persimmonwalk.engine.control.StoredRow;
import org.persimmonwalk.engine.control.TokenGrant;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.BackendServerId;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.id.WorkspaceId;
import org.persimmonwalk.model.MonotonicTime;
import org.persimmonwalk.model.SocketEndpoint;

/** The equality of records whose {@code equals} and {@code hashCode} are written out. */
class WrittenEqualityTest {
  private static final int COMMON = 1;
  private static final int OTHER = 2;

  static Stream<Class<?>> records() {
    return Stream.of(
        AvailabilityZone.class,
        BackendServerId.class,
        DatabaseGroupId.class,
        DatabaseName.class,
        EntryHostId.class,
        MonotonicTime.class,
        PrimaryView.class,
        RelayHost.class,
        RelayRole.class,
        RequestId.class,
        RowDemand.class,
        RowKey.class,
        ServerEntry.class,
        SocketEndpoint.class,
        StoreEra.class,
        StoreVersion.class,
        StoredRow.class,
        TermPosition.class,
        TokenGrant.class,
        WorkspaceId.class);
  }

  /** Guards against a component that was added to a record and is not compared. */
  @ParameterizedTest
  @MethodSource("records")
  void shouldCompareEachComponent(Class<?> type) throws ReflectiveOperationException {
    RecordComponent[] components = type.getRecordComponents();
    Object[] values = values(components);

    assertThat(create(type, values)).isEqualTo(create(type, values(components)));
    assertThat(create(type, values)).hasSameHashCodeAs(create(type, values(components)));
    for (int i = 0; i < components.length; i++) {
      Object[] changed = values(components);
      changed[i] = sample(components[i].getType(), OTHER);
      assertThat(create(type, changed))
          .as(components[i].getName())
          .isNotEqualTo(create(type, values));
    }
  }

  private static Object[] values(RecordComponent[] components) throws ReflectiveOperationException {
    Object[] values = new Object[components.length];
    for (int i = 0; i < values.length; i++) {
      values[i] = sample(components[i].getType(), COMMON);
    }
    return values;
  }

  private static Object create(Class<?> type, Object[] values) throws ReflectiveOperationException {
    Class<?>[] types =
        Arrays.stream(type.getRecordComponents())
            .map(RecordComponent::getType)
            .toArray(Class<?>[]::new);
    Constructor<?> constructor = type.getDeclaredConstructor(types);
    return constructor.newInstance(values);
  }

  /** Returns an equal value for each call with the same number. */
  private static Object sample(Class<?> type, int number) throws ReflectiveOperationException {
    if (type == int.class) {
      return number;
    } else if (type == long.class) {
      return (long) number;
    } else if (type == boolean.class) {
      return number == OTHER;
    } else if (type == String.class) {
      return "10.0.0." + number;
    } else if (type == Duration.class) {
      return Duration.ofMillis(number);
    } else if (type == Optional.class) {
      return Optional.of(Integer.toString(number));
    } else if (type == Set.class) {
      return Set.of(Integer.toString(number));
    } else if (type.isEnum()) {
      return type.getEnumConstants()[number];
    }
    RecordComponent[] components = type.getRecordComponents();
    Object[] values = new Object[components.length];
    for (int i = 0; i < values.length; i++) {
      values[i] = sample(components[i].getType(), number);
    }
    return create(type, values);
  }
}

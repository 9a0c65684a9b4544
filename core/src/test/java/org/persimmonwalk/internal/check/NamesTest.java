package org.persimmonwalk.internal.check;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonwalk.id.AvailabilityZone;
import org.persimmonwalk.id.WorkspaceId;

class NamesTest {

  /** Guards against release notes that use names which the product does not allow. */
  @Test
  void shouldKeepTheIdentifiersOfTheProductPlain() {
    for (String name : List.of("\u00f6ljy", "-oil", "oil/gas", "a b", "", "n".repeat(129))) {
      assertThatThrownBy(() -> WorkspaceId.of(name)).isInstanceOf(IllegalArgumentException.class);
      assertThatThrownBy(() -> AvailabilityZone.of(name))
          .isInstanceOf(IllegalArgumentException.class);
    }
  }

  /** Guards against a name that a server takes for two fields, or for the end of a line. */
  @Test
  void shouldRejectNamesThatCannotBeOneFieldOfALine() {
    for (String name : List.of("", " ", "a b", "a\rb", "a\nb", "a\0b", "\ud800", "a\udc00")) {
      assertThatThrownBy(() -> WorkspaceId.ofExternal(name))
          .isInstanceOf(IllegalArgumentException.class);
    }
    for (String name : List.of("\u00f6ljy", "-oil", "a\tb", "\ud83d\udee2", "n".repeat(5000))) {
      assertThat(WorkspaceId.ofExternal(name).value()).isEqualTo(name);
    }
    assertThat(AvailabilityZone.ofExternal("it\u00e4 1").value()).isEqualTo("it\u00e4 1");
  }
}

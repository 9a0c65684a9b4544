package org.persimmonwalk.internal.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Objects;
import org.persimmonwalk.result.ResultCode;

/**
 * An answer of the administration interface.
 *
 * @param status the HTTP status
 * @param body the content
 */
public record AdminAnswer(int status, JsonNode body) {
  private static final int OK = 200;

  /** Checks that the content is present. */
  public AdminAnswer {
    Objects.requireNonNull(body, "body");
  }

  /** Returns an answer with status 200. */
  public static AdminAnswer ok(JsonNode body) {
    return new AdminAnswer(OK, body);
  }

  /** Returns an answer that names a result code; the detail says what happened and what to do. */
  public static AdminAnswer error(int status, ResultCode code, String detail) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.putObject("error")
        .put("code", code.label())
        .put("name", code.name())
        .put("message", code.label() + ": " + detail);
    return new AdminAnswer(status, body);
  }
}

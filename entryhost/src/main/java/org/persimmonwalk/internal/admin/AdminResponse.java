package org.persimmonwalk.internal.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Objects;
import org.persimmonwalk.result.ResultCode;

/**
 * A response of the administration interface.
 *
 * @param status the HTTP status
 * @param body the JSON content
 */
public record AdminResponse(int status, JsonNode body) {
  private static final int OK = 200;

  /** Checks that the body is present. */
  public AdminResponse {
    Objects.requireNonNull(body, "body");
  }

  /** Returns a response with status 200. */
  public static AdminResponse ok(JsonNode body) {
    return new AdminResponse(OK, body);
  }

  /** Returns an error with its result code; the detail says what happened and what to do. */
  public static AdminResponse error(int status, ResultCode code, String detail) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.putObject("error")
        .put("code", code.label())
        .put("name", code.name())
        .put("message", code.label() + ": " + detail);
    return new AdminResponse(status, body);
  }
}

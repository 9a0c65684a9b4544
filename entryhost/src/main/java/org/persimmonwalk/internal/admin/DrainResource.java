package org.persimmonwalk.internal.admin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.tinylog.Logger;

/** Starts draining the host; repeated requests have no further effect. */
final class DrainResource implements AdminResource {
  private static final int ACCEPTED = 202;

  private final Runnable drain;

  private DrainResource(Runnable drain) {
    this.drain = drain;
  }

  static DrainResource of(Runnable drain) {
    return new DrainResource(drain);
  }

  @Override
  public String method() {
    return "POST";
  }

  @Override
  public String path() {
    return "/drain";
  }

  @Override
  public AdminResponse handle() {
    Logger.info("an operator requested that this host drain");
    drain.run();
    return new AdminResponse(ACCEPTED, JsonNodeFactory.instance.objectNode().put("accepted", true));
  }
}

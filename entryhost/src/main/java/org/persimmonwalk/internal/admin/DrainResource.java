package org.persimmonwalk.internal.admin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.tinylog.Logger;

/** Asks the host to stop as planned; asking again changes nothing. */
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
  public AdminAnswer answer() {
    Logger.info("an operator asks this host to drain");
    drain.run();
    return new AdminAnswer(ACCEPTED, JsonNodeFactory.instance.objectNode().put("accepted", true));
  }
}

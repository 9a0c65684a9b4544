package org.persimmonwalk.peer.zone;

import io.netty.channel.Channel;
import org.persimmonwalk.engine.ByteBudget;

/** Counts the connections of other hosts and limits what they take; called on the event loop. */
public interface ZoneAdmission {

  /** Adds a connection; returns the account to charge for its incomplete messages. */
  ByteBudget.Account add(Channel channel);
}

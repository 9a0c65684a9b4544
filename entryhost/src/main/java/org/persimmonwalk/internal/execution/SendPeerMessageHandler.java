package org.persimmonwalk.internal.execution;

import org.persimmonwalk.command.SendPeerMessage;
import org.persimmonwalk.port.PeerMessenger;

/** Sends a message to another entry host. A lost message is not reported or sent again here. */
public final class SendPeerMessageHandler implements CommandHandler<SendPeerMessage> {
  private final PeerMessenger messenger;

  private SendPeerMessageHandler(PeerMessenger messenger) {
    this.messenger = messenger;
  }

  /** Returns the handler. */
  public static SendPeerMessageHandler of(PeerMessenger messenger) {
    return new SendPeerMessageHandler(messenger);
  }

  @Override
  public void handle(SendPeerMessage command) {
    messenger.send(command.to(), command.message());
  }
}

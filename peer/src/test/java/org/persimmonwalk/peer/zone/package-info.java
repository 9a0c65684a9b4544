/** Tests of the messages between the hosts of a zone. */
package org.persimmonwalk.peer.zone;

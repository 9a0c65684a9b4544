/** Tests of the requests and replies between the hosts of a zone. */
package org.persimmonwalk.peer.zone;

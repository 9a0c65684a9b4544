/** Questions and answers between the entry hosts of one zone and their relay. */
package org.persimmonwalk.peer.zone;

/** Which entry hosts are live, and the heartbeats between them. */
package org.persimmonwalk.internal.control.membership;

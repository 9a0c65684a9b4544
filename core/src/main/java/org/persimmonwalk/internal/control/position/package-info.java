/** What each backend server has replayed, and which primaries are confirmed. */
package org.persimmonwalk.internal.control.position;

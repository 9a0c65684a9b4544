/** Tests for reading log lines of entry hosts. */
package org.persimmonwalk.internal.operator.log;

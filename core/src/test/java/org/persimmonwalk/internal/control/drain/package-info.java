/** Tests of starting and stopping. */
package org.persimmonwalk.internal.control.drain;

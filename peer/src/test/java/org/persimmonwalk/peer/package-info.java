/** Tests of the messages between entry hosts. */
package org.persimmonwalk.peer;

/** Commands that controllers ask executors to carry out. */
package org.persimmonwalk.command;

/** Keeps the newest configuration in force, from the store or from a peer that has it first. */
package org.persimmonwalk.internal.control.configuration;

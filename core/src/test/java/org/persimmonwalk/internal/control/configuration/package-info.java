/** Tests that the newest configuration is in force on one host and reaches all hosts. */
package org.persimmonwalk.internal.control.configuration;

/** Which configuration is in force. */
package org.persimmonwalk.internal.control.configuration;

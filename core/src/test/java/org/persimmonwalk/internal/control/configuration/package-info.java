/** Tests of the configuration in force. */
package org.persimmonwalk.internal.control.configuration;

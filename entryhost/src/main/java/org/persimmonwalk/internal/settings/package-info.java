/** Reads and checks the settings file of the entry host. */
package org.persimmonwalk.internal.settings;

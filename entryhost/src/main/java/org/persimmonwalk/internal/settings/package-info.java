/**
 * The settings of an entry host, read from a YAML file once at start. The whole file is checked,
 * and every fault is reported at once.
 */
package org.persimmonwalk.internal.settings;

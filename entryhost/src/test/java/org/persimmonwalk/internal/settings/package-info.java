/** Tests of the settings file. */
package org.persimmonwalk.internal.settings;

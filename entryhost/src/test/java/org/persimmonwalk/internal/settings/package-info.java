/** Tests of reading the settings file and of its documentation. */
package org.persimmonwalk.internal.settings;

/** The HTTP transport and the JSON formats that the platform client uses. */
package org.persimmonwalk.internal.store;

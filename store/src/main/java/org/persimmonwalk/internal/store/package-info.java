/** The HTTP transport and the JSON format of the platform client. */
package org.persimmonwalk.internal.store;

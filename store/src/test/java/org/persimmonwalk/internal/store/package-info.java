/** Tests of the platform transport. */
package org.persimmonwalk.internal.store;

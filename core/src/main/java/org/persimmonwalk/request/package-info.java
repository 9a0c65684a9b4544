/** The steps that a statement takes, independent of the protocol that it came by. */
package org.persimmonwalk.request;

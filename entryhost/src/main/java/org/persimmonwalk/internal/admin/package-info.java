/** The administration interface of an entry host: HTTP with JSON for operators. */
package org.persimmonwalk.internal.admin;

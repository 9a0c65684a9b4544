/** Tests of the administration interface. */
package org.persimmonwalk.internal.admin;

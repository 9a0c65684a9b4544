/** Tests of the platform client against the stand-in platform. */
package org.persimmonwalk.store;

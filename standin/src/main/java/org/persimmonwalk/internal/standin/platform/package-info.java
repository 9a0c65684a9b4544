/** The state and the HTTP front end of the stand-in platform. */
package org.persimmonwalk.internal.standin.platform;

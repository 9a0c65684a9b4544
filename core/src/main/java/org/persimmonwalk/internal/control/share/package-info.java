/** This host's part of the rate and burst of each workspace. */
package org.persimmonwalk.internal.control.share;

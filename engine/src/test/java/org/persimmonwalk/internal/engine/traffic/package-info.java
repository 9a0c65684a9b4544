/** Tests of caller sessions and server choice, on fakes of the store and of the backend servers. */
package org.persimmonwalk.internal.engine.traffic;

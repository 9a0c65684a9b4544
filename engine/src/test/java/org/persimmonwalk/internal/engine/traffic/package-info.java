/** Tests of sessions on fakes of the store and of the servers. */
package org.persimmonwalk.internal.engine.traffic;

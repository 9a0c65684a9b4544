/** Client of the platform: table service, object store and host list. */
package org.persimmonwalk.store;

/**
 * The connection pool and calls to endpoints.
 */
package org.fulmargap.entry.endpoint;

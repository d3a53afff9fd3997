/**
 * HTTP calls to endpoints and probes of their state.
 */
package org.fulmargap.endpoint;

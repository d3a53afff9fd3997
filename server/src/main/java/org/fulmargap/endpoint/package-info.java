/**
 * Calls to endpoints.
 */
package org.fulmargap.endpoint;
